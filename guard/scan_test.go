package guard

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/lesismal/nbio/nbhttp"
)

const (
	getHead  = "GET /v1/ready HTTP/1.1\r\nHost: h\r\n"
	postHead = "POST /q/1 HTTP/1.1\r\nHost: h\r\n"
)

var testLimits = SizeLimits{HeadBytes: 200, BodyBytes: 100}

// scanAll passes text in pieces, and returns the ends of the requests and the cause of a refusal.
func scanAll(text string, piece int, limits SizeLimits) (ends []int, cause Cause) {
	var s Scanner
	for at := 0; at < len(text); {
		rest := []byte(text[at:min(len(text), at+piece)])
		skipped, err := s.SkipEmptyLines(rest)
		if err != nil {
			return ends, err.Cause
		}
		n, complete, err := s.Scan(rest[skipped:], &limits)
		if err != nil {
			return ends, err.Cause
		}
		at += skipped + n
		if complete {
			ends = append(ends, at)
			s.Reset()
		}
	}
	return ends, ""
}

func TestScannerFindsEndsAndRefusesByCause(t *testing.T) {
	for _, test := range []struct {
		name string
		text string
		ends int
		want Cause
	}{
		{"no body", getHead + "\r\n", 1, ""},
		{"two requests", getHead + "\r\n" + getHead + "\r\n", 2, ""},
		{"an incomplete head", getHead, 0, ""},
		{"a query and escapes", "GET /a%20b?c=%zz HTTP/1.0\r\n\r\n", 1, ""},
		{"an asterisk", "OPTIONS * HTTP/1.1\r\n\r\n", 1, ""},
		{"a length", postHead + "Content-Length: 5 \r\n\r\n12345", 1, ""},
		{"an incomplete body", postHead + "content-length:5\r\n\r\n1234", 0, ""},
		{"chunks", postHead + "Transfer-Encoding:  CHUNKED \r\n\r\n3\r\nabc\r\n1;x=y\r\nd\r\n0\r\n\r\n" + getHead + "\r\n", 2, ""},
		{"an empty chunked body", postHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 1, ""},
		{"an empty line before a request", "\r\n" + getHead + "\r\n", 1, ""},
		{"empty lines without end", strings.Repeat("\r\n", 10), 0, CauseMalformed},
		{"the largest head", getHead + "a:" + strings.Repeat("x", 200-len(getHead)-6) + "\r\n\r\n", 1, ""},
		{"a head one byte over the limit", getHead + "a:" + strings.Repeat("x", 200-len(getHead)-5) + "\r\n\r\n", 0, CauseHead},
		{"a request line over the limit", "GET /" + strings.Repeat("x", 300), 0, CauseHead},
		{"the largest body", postHead + "Content-Length: 100\r\n\r\n" + strings.Repeat("x", 100), 1, ""},
		{"a body one byte over the limit", postHead + "Content-Length: 101\r\n\r\n", 0, CauseBody},
		{"chunks over the limit", postHead + "Transfer-Encoding: chunked\r\n\r\n60\r\n" + strings.Repeat("x", 96) + "\r\n5\r\n", 0, CauseBody},
		{"a length with a sign", postHead + "Content-Length: +5\r\n\r\n", 0, CauseMalformed},
		{"a length with a tab", postHead + "Content-Length:\t5\r\n\r\n", 0, CauseMalformed},
		{"a length of two numbers", postHead + "Content-Length: 5 5\r\n\r\n", 0, CauseMalformed},
		{"a length that overflows", postHead + "Content-Length: 9999999999999999999\r\n\r\n", 0, CauseMalformed},
		{"no length", postHead + "Content-Length: \r\n\r\n", 0, CauseMalformed},
		{"two lengths", postHead + "Content-Length: 5\r\nContent-Length: 5\r\n\r\n", 0, CauseMalformed},
		{"a length and chunks", postHead + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", 0, CauseMalformed},
		{"two encodings", postHead + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", 0, CauseMalformed},
		{"another encoding", postHead + "Transfer-Encoding: gzip\r\n\r\n", 0, CauseMalformed},
		{"a list of encodings", postHead + "Transfer-Encoding: gzip, chunked\r\n\r\n", 0, CauseMalformed},
		{"a trailer", postHead + "Trailer: x\r\nTransfer-Encoding: chunked\r\n\r\n", 0, CauseMalformed},
		{"lines after the last chunk", postHead + "Transfer-Encoding: chunked\r\n\r\n0\r\na: b\r\n\r\n", 0, CauseMalformed},
		{"a chunk without its size", postHead + "Transfer-Encoding: chunked\r\n\r\n\r\n", 0, CauseMalformed},
		{"a chunk that is too long", postHead + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", 0, CauseMalformed},
		{"an extension without end", postHead + "Transfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("x", 5000), 0, CauseMalformed},
		{"a size with many zeros", postHead + "Transfer-Encoding: chunked\r\n\r\n00000001\r\n", 0, CauseMalformed},
		{"a bare line feed", "GET / HTTP/1.1\n", 0, CauseMalformed},
		{"a bare line feed in a value", getHead + "a: b\nc: d\r\n\r\n", 0, CauseMalformed},
		{"a folded line", getHead + "a: b\r\n c\r\n\r\n", 0, CauseMalformed},
		{"a space before the colon", getHead + "Content-Length : 5\r\n\r\n", 0, CauseMalformed},
		{"a line without a colon", getHead + "abc\r\n\r\n", 0, CauseMalformed},
		{"a line without a name", getHead + ": b\r\n\r\n", 0, CauseMalformed},
		{"a control character", getHead + "a: \x00\r\n\r\n", 0, CauseMalformed},
		{"a line break in the target", "GET /\r\n HTTP/1.1\r\n\r\n", 0, CauseMalformed},
		{"a bad escape", "GET /%zz HTTP/1.1\r\n\r\n", 0, CauseMalformed},
		{"an absolute target", "GET http://h/ HTTP/1.1\r\n\r\n", 0, CauseMalformed},
		{"two spaces", "GET  / HTTP/1.1\r\n\r\n", 0, CauseMalformed},
		{"another version", "GET / HTTP/2.0\r\n\r\n", 0, CauseMalformed},
		{"an unknown method", "GETS / HTTP/1.1\r\n\r\n", 0, CauseMalformed},
		{"a method in lower case", "get / HTTP/1.1\r\n\r\n", 0, CauseMalformed},
		{"binary", "\x16\x03\x01", 0, CauseMalformed},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, piece := range []int{1, 2, 7, 1 << 20} {
				c := qt.New(t)
				ends, cause := scanAll(test.text, piece, testLimits)
				c.Check(cause, qt.Equals, test.want, qt.Commentf("pieces of %d", piece))
				c.Check(ends, qt.HasLen, test.ends, qt.Commentf("pieces of %d", piece))
			}
		})
	}
}

func TestScannerOfReadOnlyAddressRefusesBodiesAndWrites(t *testing.T) {
	limits := SizeLimits{HeadBytes: 200, ReadOnly: true}
	for _, test := range []struct {
		text string
		want Cause
	}{
		{getHead + "\r\n", ""},
		{"HEAD /metrics HTTP/1.1\r\n\r\n", ""},
		{postHead + "\r\n", CauseMethod},
		{getHead + "Content-Length: 1\r\n\r\n", CauseBody},
		{getHead + "Transfer-Encoding: chunked\r\n\r\n", CauseBody},
	} {
		t.Run(test.text, func(t *testing.T) {
			_, cause := scanAll(test.text, 1<<20, limits)
			qt.New(t).Assert(cause, qt.Equals, test.want)
		})
	}
}

func TestScannerAllocatesNothing(t *testing.T) {
	text := []byte(postHead + "Content-Type: application/json\r\nContent-Length: 5\r\n\r\n12345")
	var s Scanner
	allocs := testing.AllocsPerRun(100, func() {
		if _, complete, err := s.Scan(text, &testLimits); !complete || err != nil {
			t.Fatal("not a complete request")
		}
		s.Reset()
	})
	qt.New(t).Assert(allocs, qt.Equals, 0.0)
}

func BenchmarkScan(b *testing.B) {
	text := []byte(postHead + "Content-Type: application/json\r\nAccept: */*\r\nUser-Agent: client\r\nAuthorization: Bearer " +
		strings.Repeat("x", 40) + "\r\nContent-Length: 600\r\n\r\n" + strings.Repeat("x", 600))
	limits := SizeLimits{HeadBytes: 16 << 10, BodyBytes: 1 << 10}
	var s Scanner
	for b.Loop() {
		_, _, _ = s.Scan(text, &limits)
		s.Reset()
	}
}

// parsedEnds returns after how many bytes of text the server's parser had passed on each request, and whether it reported an error.
func parsedEnds(text string) ([]int, bool) {
	engine := nbhttp.NewEngine(nbhttp.Config{})
	counter := &countingProcessor{}
	parser := nbhttp.NewParser(&nbhttp.Conn{}, engine, counter, false, nil)
	var ends []int
	for i := range len(text) {
		if parser.Parse([]byte{text[i]}) != nil {
			return ends, false
		}
		if counter.completed > len(ends) {
			ends = append(ends, i+1)
		}
	}
	return ends, true
}

// countingProcessor counts the requests that the server's parser passes on, and checks their targets as the server does.
type countingProcessor struct {
	nbhttp.ServerProcessor
	completed int
}

func (p *countingProcessor) OnComplete(parser *nbhttp.Parser) {
	p.completed++
	p.Clean(parser)
}

// readEnds returns where net/http finds the ends of the requests in text, as far as it accepts them.
func readEnds(text string) []int {
	source := bytes.NewReader([]byte(text))
	in := bufio.NewReader(source)
	var ends []int
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return ends
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return ends
		}
		ends = append(ends, len(text)-source.Len()-in.Buffered())
	}
}

// FuzzScanner checks that requests which the scanner passes end where net/http and the server's parser find their ends, so that nothing can
// hide from it, and that the result doesn't depend on how the bytes are divided.
func FuzzScanner(f *testing.F) {
	for _, text := range []string{
		getHead + "\r\n" + getHead + "\r\n",
		postHead + "Content-Length: 5\r\n\r\n12345",
		postHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + getHead + "\r\n",
		postHead + "Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\na: b\r\n\r\n",
		"POST /%41?x HTTP/1.0\r\ncontent-length:0\r\n\r\n",
		"OPTIONS * HTTP/1.1\r\n\r\n",
	} {
		f.Add(text, 3)
	}
	f.Fuzz(func(t *testing.T, text string, piece int) {
		if len(text) > 4096 || strings.HasPrefix(text, "\r") || strings.HasPrefix(text, "\n") {
			return
		}
		limits := SizeLimits{HeadBytes: 2048, BodyBytes: 1024}
		whole, cause := scanAll(text, 1<<20, limits)
		divided, dividedCause := scanAll(text, max(1, piece%64), limits)
		c := qt.New(t)
		c.Assert(divided, qt.DeepEquals, whole)
		c.Assert(dividedCause, qt.Equals, cause)
		if len(whole) == 0 {
			return
		}
		// Empty lines between requests are not passed on, and end the comparison.
		if strings.Contains(text, "\r\n\r\n\r") || strings.Contains(text, "\r\n\r\n\n") {
			whole = whole[:1]
		}
		parsed, _ := parsedEnds(text)
		c.Assert(len(parsed) >= len(whole), qt.IsTrue, qt.Commentf("the server's parser found %v, the scanner %v", parsed, whole))
		c.Assert(parsed[:len(whole)], qt.DeepEquals, whole)
		read := readEnds(text)
		n := min(len(read), len(whole))
		c.Assert(slices.Equal(read[:n], whole[:n]), qt.IsTrue, qt.Commentf("net/http found %v, the scanner %v", read, whole))
	})
}

func TestRefusalIsRequestError(t *testing.T) {
	c := qt.New(t)
	var refused *RequestError
	c.Assert(errors.As(error(errBody), &refused), qt.IsTrue)
	c.Assert(refused.Status, qt.Equals, http.StatusRequestEntityTooLarge)
	var _ net.Conn = &conn{}
}
