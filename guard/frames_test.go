package guard

import (
	"bytes"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/net/http2"
)

// What belongs to calls must be counted alike however the bytes arrive, or the charge of a connection would drift.
func TestFramesAreCountedHoweverTheyArrive(t *testing.T) {
	c := qt.New(t)
	var stream bytes.Buffer
	_, err := io.WriteString(&stream, http2.ClientPreface)
	c.Assert(err, qt.IsNil)
	f := http2.NewFramer(&stream, nil)
	c.Assert(f.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1 << 20}), qt.IsNil)
	c.Assert(f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: make([]byte, 100)}), qt.IsNil)
	c.Assert(f.WriteContinuation(1, true, make([]byte, 200)), qt.IsNil)
	c.Assert(f.WritePing(false, [8]byte{}), qt.IsNil)
	c.Assert(f.WriteData(1, false, make([]byte, 70_000)), qt.IsNil)
	c.Assert(f.WriteWindowUpdate(0, 5), qt.IsNil)
	c.Assert(f.WriteData(1, true, make([]byte, 3)), qt.IsNil)
	for _, piece := range []int{1, 5, 9, 1000, stream.Len()} {
		counter := frameCounter{counts: isOfCall, left: len(http2.ClientPreface)}
		sum := int64(0)
		for rest := stream.Bytes(); len(rest) > 0; rest = rest[min(piece, len(rest)):] {
			sum += counter.count(rest[:min(piece, len(rest))])
		}
		c.Check(sum, qt.Equals, int64(100+200+70_000+3), qt.Commentf("pieces of %d bytes", piece))
	}
}
