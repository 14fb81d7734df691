package guard

import (
	"fmt"
	"net/http"
)

// Cause says why a request was refused or a connection closed. It is the label of the metric.
type Cause string

// The causes.
const (
	CauseMalformed   Cause = "malformed"
	CauseMethod      Cause = "method"
	CauseHead        Cause = "head-too-large"
	CauseBody        Cause = "body-too-large"
	CauseHeadTimeout Cause = "head-timeout"
	CauseBodyTimeout Cause = "body-timeout"
	CauseIdle        Cause = "idle"
	CauseMemory      Cause = "memory"
	CauseConnections Cause = "connections"
	CauseNoResponse  Cause = "no-response"
)

// RequestError reports a request that is refused, with the status of the response.
type RequestError struct {
	Status int
	Cause  Cause
}

// Error returns the status and the cause.
func (e *RequestError) Error() string {
	return fmt.Sprintf("request refused with %d: %s", e.Status, e.Cause)
}

// The errors are values, so that a refusal allocates nothing. None of them has the status 429 or 503: those promise that a job never runs, but the
// guard can't know whether an earlier request with the same ID, whose response was lost, has been accepted.
var (
	errMalformed   = &RequestError{http.StatusBadRequest, CauseMalformed}
	errMethod      = &RequestError{http.StatusBadRequest, CauseMethod}
	errHead        = &RequestError{http.StatusRequestHeaderFieldsTooLarge, CauseHead}
	errBody        = &RequestError{http.StatusRequestEntityTooLarge, CauseBody}
	errHeadTimeout = &RequestError{http.StatusRequestTimeout, CauseHeadTimeout}
	errBodyTimeout = &RequestError{http.StatusRequestTimeout, CauseBodyTimeout}
	errMemory      = &RequestError{http.StatusRequestTimeout, CauseMemory}
	errConnections = &RequestError{http.StatusRequestTimeout, CauseConnections}
	errNoResponse  = &RequestError{http.StatusBadRequest, CauseNoResponse}
)

// SizeLimits are the limits that a Scanner enforces.
type SizeLimits struct {
	HeadBytes int
	BodyBytes int
	// ReadOnly allows GET and HEAD only.
	ReadOnly bool
}

// Bounds of what surrounds the data of a chunked body.
const (
	// chunkOverheadPerByte allows chunks of a single byte, which have 5 bytes around it, and 3 leading zeros.
	chunkOverheadPerByte = 8
	chunkOverheadBase    = 4096
	maxChunkSizeDigits   = 7
	// maxEmptyBytes is how many bytes of empty lines may precede a request; some clients send one line after a body.
	maxEmptyBytes = 4
)

// phase is what a Scanner expects next.
type phase uint8

const (
	phaseStart phase = iota
	phaseMethod
	phaseTarget
	phaseProto
	phaseLineEnd
	phaseLineStart
	phaseName
	phaseValueStart
	phaseValue
	phaseHeadEnd
	phaseBody
	phaseChunkSize
	phaseChunkExtension
	phaseChunkSizeEnd
	phaseChunkData
	phaseChunkDataCR
	phaseChunkDataLF
	phaseLastCR
	phaseLastLF
)

// field is a header field that determines where a request ends.
type field uint8

const (
	fieldOther field = iota
	fieldLength
	fieldEncoding
	fieldTrailer
)

// Names of fields and values in lower case.
const (
	nameLength   = "content-length"
	nameEncoding = "transfer-encoding"
	nameTrailer  = "trailer"
	chunked      = "chunked"
	protoPrefix  = "HTTP/1."
)

// Scanner finds the ends of the head and of the body of HTTP/1 requests in a stream of bytes, and enforces limits as they are passed. It
// rejects whatever the server's parser could read differently. The zero value expects a request.
type Scanner struct {
	phase phase
	field field
	// digits counts digits of a number, or bytes of a name or a value that have matched.
	digits    uint8
	empty     uint8
	escape    uint8
	star      bool
	query     bool
	spaceSeen bool
	chunked   bool
	hasLength bool
	// oldVersion says that the request is one of HTTP/1.0, which has no chunks.
	oldVersion bool
	name       [len(nameEncoding)]byte
	nameLen    int
	method     uint64
	// left is what remains of the body or of the current chunk.
	left     int
	length   int
	head     int
	lines    int
	body     int
	overhead int
}

// Started reports whether a request has begun.
func (s *Scanner) Started() bool { return s.phase != phaseStart }

// InBody reports whether the head is complete.
func (s *Scanner) InBody() bool { return s.phase >= phaseBody }

// HeadBytes returns the bytes of the head so far.
func (s *Scanner) HeadBytes() int { return s.head }

// Lines returns the header lines so far.
func (s *Scanner) Lines() int { return s.lines }

// BodyBytes returns the bytes of the body so far, without those around chunks.
func (s *Scanner) BodyBytes() int { return s.body }

// Reset makes the scanner expect the next request.
func (s *Scanner) Reset() { *s = Scanner{} }

// SkipEmptyLines returns the number of bytes of empty lines at the start of p, which are not passed on.
func (s *Scanner) SkipEmptyLines(p []byte) (int, *RequestError) {
	if s.phase != phaseStart {
		return 0, nil
	}
	for i, c := range p {
		if c != '\r' && c != '\n' {
			return i, nil
		}
		if s.empty++; s.empty > maxEmptyBytes {
			return 0, errMalformed
		}
	}
	return len(p), nil
}

// Scan follows the bytes of a request up to its end. It returns how many of them belong to the request, and whether the request is complete.
func (s *Scanner) Scan(p []byte, limits *SizeLimits) (n int, complete bool, refused *RequestError) {
	for n < len(p) {
		if s.phase < phaseBody {
			used, err := s.scanHead(p[n:], limits)
			n += used
			if err != nil {
				return n, false, err
			}
			if s.phase == phaseBody && s.left == 0 {
				return n, true, nil
			}
			continue
		}
		if s.phase == phaseBody || s.phase == phaseChunkData {
			k := min(s.left, len(p)-n)
			n += k
			s.left -= k
			s.body += k
			if s.left > 0 {
				return n, false, nil
			}
			if s.phase == phaseBody {
				return n, true, nil
			}
			s.phase = phaseChunkDataCR
			continue
		}
		done, err := s.scanChunk(p[n], limits)
		n++
		if done || err != nil {
			return n, done, err
		}
	}
	return n, false, nil
}

// scanHead follows bytes of the head until its end or the end of p.
func (s *Scanner) scanHead(p []byte, limits *SizeLimits) (int, *RequestError) {
	for i := 0; i < len(p); i++ {
		if s.head++; s.head > limits.HeadBytes {
			return i, errHead
		}
		c := p[i]
		if s.phase == phaseValue && s.field == fieldOther {
			if c >= ' ' && c != 0x7f {
				continue
			}
		}
		if err := s.headByte(c, limits); err != nil {
			return i, err
		}
		if s.phase >= phaseBody {
			return i + 1, nil
		}
	}
	return len(p), nil
}

func (s *Scanner) headByte(c byte, limits *SizeLimits) *RequestError {
	switch s.phase {
	case phaseStart, phaseMethod, phaseTarget, phaseProto:
		return s.requestLineByte(c, limits)
	case phaseLineEnd:
		if c != '\n' {
			return errMalformed
		}
		s.phase = phaseLineStart
	case phaseLineStart:
		if c == '\r' {
			s.phase = phaseHeadEnd
			return nil
		}
		s.lines++
		s.nameLen = 0
		s.phase = phaseName
		return s.nameByte(c)
	case phaseName:
		if c == ':' {
			return s.nameEnd()
		}
		return s.nameByte(c)
	case phaseValueStart, phaseValue:
		return s.valueByte(c)
	default:
		if c != '\n' {
			return errMalformed
		}
		return s.headEnd(limits)
	}
	return nil
}

func (s *Scanner) requestLineByte(c byte, limits *SizeLimits) *RequestError {
	switch s.phase {
	case phaseStart, phaseMethod:
		if c == ' ' && s.phase == phaseMethod {
			s.phase = phaseTarget
			s.digits = 0
			return s.checkMethod(limits)
		}
		const maxMethod = 7
		if s.digits++; c < 'A' || c > 'Z' || s.digits > maxMethod {
			return errMalformed
		}
		s.method = s.method<<8 | uint64(c)
		s.phase = phaseMethod
	case phaseTarget:
		return s.targetByte(c)
	default:
		switch n := int(s.digits); {
		case n < len(protoPrefix) && c == protoPrefix[n]:
			s.digits++
		case n == len(protoPrefix) && (c == '0' || c == '1'):
			s.digits++
			s.oldVersion = c == '0'
		case n == len(protoPrefix)+1 && c == '\r':
			s.phase = phaseLineEnd
		default:
			return errMalformed
		}
	}
	return nil
}

// packed returns the bytes of a method as Scanner.method holds them.
func packed(method string) uint64 {
	v := uint64(0)
	for i := range len(method) {
		v = v<<8 | uint64(method[i])
	}
	return v
}

var (
	methodGet     = packed(http.MethodGet)
	methodHead    = packed(http.MethodHead)
	methodPost    = packed(http.MethodPost)
	methodPut     = packed(http.MethodPut)
	methodDelete  = packed(http.MethodDelete)
	methodPatch   = packed(http.MethodPatch)
	methodOptions = packed(http.MethodOptions)
)

func (s *Scanner) checkMethod(limits *SizeLimits) *RequestError {
	switch s.method {
	case methodGet, methodHead:
		return nil
	case methodPost, methodPut, methodDelete, methodPatch, methodOptions:
		if limits.ReadOnly {
			return errMethod
		}
		return nil
	}
	return errMalformed
}

// targetByte accepts a path with a query, or a single asterisk.
func (s *Scanner) targetByte(c byte) *RequestError {
	first := s.digits == 0
	s.digits = 1
	switch {
	case c == ' ' && !first && s.escape == 0:
		s.phase = phaseProto
		s.digits = 0
	case c <= ' ' || c == 0x7f || s.star:
		return errMalformed
	case first && c == '*':
		s.star = true
	case first && c != '/':
		return errMalformed
	case s.escape > 0:
		if !isHex(c) {
			return errMalformed
		}
		s.escape--
	case c == '?':
		s.query = true
	case c == '%' && !s.query:
		s.escape = 2
	}
	return nil
}

func (s *Scanner) nameByte(c byte) *RequestError {
	if !tokenBytes[c] {
		return errMalformed
	}
	if s.nameLen < len(s.name) {
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		s.name[s.nameLen] = c
	}
	s.nameLen++
	return nil
}

func (s *Scanner) nameEnd() *RequestError {
	s.phase = phaseValueStart
	s.field = fieldOther
	s.digits = 0
	s.spaceSeen = false
	if s.nameLen > len(s.name) {
		return nil
	}
	switch string(s.name[:s.nameLen]) {
	case nameLength:
		if s.hasLength {
			return errMalformed
		}
		s.field, s.hasLength = fieldLength, true
	case nameEncoding:
		if s.chunked {
			return errMalformed
		}
		s.field, s.chunked = fieldEncoding, true
	case nameTrailer:
		s.field = fieldTrailer
	}
	return nil
}

func (s *Scanner) valueByte(c byte) *RequestError {
	if c == '\r' {
		s.phase = phaseLineEnd
		switch s.field {
		case fieldLength:
			if s.digits == 0 {
				return errMalformed
			}
		case fieldEncoding:
			if int(s.digits) != len(chunked) {
				return errMalformed
			}
		}
		return nil
	}
	if (c < ' ' && c != '\t') || c == 0x7f {
		return errMalformed
	}
	s.phase = phaseValue
	switch s.field {
	case fieldLength:
		return s.lengthByte(c)
	case fieldEncoding:
		return s.encodingByte(c)
	case fieldTrailer:
		// A trailer would make the server's parser expect header lines after a chunked body.
		return errMalformed
	}
	return nil
}

func (s *Scanner) lengthByte(c byte) *RequestError {
	const maxDigits = 18
	switch {
	case c == ' ':
		s.spaceSeen = s.digits > 0
	case c < '0' || c > '9' || s.spaceSeen || s.digits == maxDigits:
		return errMalformed
	default:
		s.digits++
		s.length = s.length*10 + int(c-'0')
	}
	return nil
}

func (s *Scanner) encodingByte(c byte) *RequestError {
	switch {
	case c == ' ':
		s.spaceSeen = s.digits > 0
	case s.spaceSeen || int(s.digits) == len(chunked) || c|0x20 != chunked[s.digits]:
		return errMalformed
	default:
		s.digits++
	}
	return nil
}

func (s *Scanner) headEnd(limits *SizeLimits) *RequestError {
	s.phase = phaseBody
	switch {
	case s.chunked && (s.hasLength || s.oldVersion):
		return errMalformed
	case s.chunked && limits.BodyBytes == 0, s.length > limits.BodyBytes:
		return errBody
	case s.chunked:
		s.startChunk()
	default:
		s.left = s.length
	}
	return nil
}

func (s *Scanner) startChunk() {
	s.phase = phaseChunkSize
	s.digits = 0
	s.left = 0
}

// scanChunk follows a byte around the data of a chunked body, and reports whether it is the last one.
func (s *Scanner) scanChunk(c byte, limits *SizeLimits) (bool, *RequestError) {
	if s.overhead++; s.overhead > chunkOverheadBase+chunkOverheadPerByte*s.body {
		return false, errMalformed
	}
	switch s.phase {
	case phaseChunkSize:
		if isHex(c) && s.digits < maxChunkSizeDigits {
			s.digits++
			s.left = s.left<<4 | hexValue(c)
			return false, nil
		}
		if s.digits == 0 || (c != ';' && c != '\r') {
			return false, errMalformed
		}
		if s.body+s.left > limits.BodyBytes {
			return false, errBody
		}
		s.phase = phaseChunkExtension
		if c == '\r' {
			s.phase = phaseChunkSizeEnd
		}
		return false, nil
	case phaseChunkExtension:
		if c == '\r' {
			s.phase = phaseChunkSizeEnd
			return false, nil
		}
		return false, malformedIf(c < ' ' || c == 0x7f)
	case phaseChunkSizeEnd:
		s.phase = phaseChunkData
		if s.left == 0 {
			s.phase = phaseLastCR
		}
		return false, malformedIf(c != '\n')
	case phaseChunkDataCR:
		s.phase = phaseChunkDataLF
		return false, malformedIf(c != '\r')
	case phaseChunkDataLF:
		s.startChunk()
		return false, malformedIf(c != '\n')
	case phaseLastCR:
		s.phase = phaseLastLF
		return false, malformedIf(c != '\r')
	default:
		return c == '\n', malformedIf(c != '\n')
	}
}

func malformedIf(bad bool) *RequestError {
	if bad {
		return errMalformed
	}
	return nil
}

func isHex(c byte) bool {
	return c >= '0' && c <= '9' || c|0x20 >= 'a' && c|0x20 <= 'f'
}

func hexValue(c byte) int {
	if c <= '9' {
		return int(c - '0')
	}
	return int(c|0x20-'a') + 10
}

// tokenBytes holds the bytes of which names of header fields consist.
var tokenBytes = func() (t [256]bool) {
	for c := range t {
		t[c] = c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
	}
	for _, c := range "!#$%&'*+-.^_`|~" {
		t[c] = true
	}
	return t
}()
