package guard

import (
	"encoding/binary"

	"golang.org/x/net/http2"
)

// frameHeaderBytes is the size of the header of an HTTP/2 frame: three bytes of the length, the type, the flags and the stream.
const frameHeaderBytes = 9

// frameCounter follows the HTTP/2 frames of a connection. The bytes of header blocks and messages belong to a call until its end; others, such
// as those of pings and of frames that open windows, are used at once.
type frameCounter struct {
	// left is what remains of the connection's preface or of the current frame.
	left int
	// held says that the current frame's bytes belong to a call.
	held   bool
	header [frameHeaderBytes]byte
	// known is how many bytes of the next frame's header have arrived.
	known int
}

// count returns how many of the next bytes belong to calls.
func (f *frameCounter) count(p []byte) int64 {
	sum := int64(0)
	for len(p) > 0 {
		if f.left > 0 {
			n := min(f.left, len(p))
			if f.held {
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
		switch http2.FrameType(f.header[3]) {
		case http2.FrameData, http2.FrameHeaders, http2.FrameContinuation:
			f.held = true
		default:
			f.held = false
		}
	}
	return sum
}
