package guard

import (
	"encoding/binary"

	"golang.org/x/net/http2"
)

// frameHeaderBytes is the size of the header of an HTTP/2 frame: three bytes of the length, the type, the flags and the stream.
const frameHeaderBytes = 9

// frameCounter follows the HTTP/2 frames of one direction of a connection, and counts the bytes of those of some types.
type frameCounter struct {
	// counts says which types of frames count.
	counts func(http2.FrameType) bool
	// left is what remains of the connection's preface or of the current frame.
	left int
	// counted says that the current frame's bytes count.
	counted bool
	header  [frameHeaderBytes]byte
	// known is how many bytes of the next frame's header have arrived.
	known int
}

// isOfCall reports whether the bytes of a frame belong to a call until its end, as those of header blocks and messages. Others, such as those of
// pings and of frames that open windows, are used at once.
func isOfCall(t http2.FrameType) bool {
	return t == http2.FrameData || t == http2.FrameHeaders || t == http2.FrameContinuation
}

func isData(t http2.FrameType) bool { return t == http2.FrameData }

// count returns how many of the next bytes count.
func (f *frameCounter) count(p []byte) int64 {
	sum := int64(0)
	for len(p) > 0 {
		if f.left > 0 {
			n := min(f.left, len(p))
			if f.counted {
				sum += int64(n)
			}
			f.left -= n
			p = p[n:]
			continue
		}
		n := copy(f.header[f.known:], p)
		p = p[n:]
		if f.known += n; f.known < frameHeaderBytes {
			break
		}
		const typeBits = 8
		f.known, f.left = 0, int(binary.BigEndian.Uint32(f.header[:])>>typeBits)
		f.counted = f.counts(http2.FrameType(f.header[3]))
	}
	return sum
}
