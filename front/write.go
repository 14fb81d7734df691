package front

import (
	"bytes"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/corianderdrift/corianderdrift/reason"
)

// Problem is an RFC 9457 problem document, extended by the outcome of the work and the reason.
type Problem struct {
	Type    string         `json:"type"`
	Title   string         `json:"title"`
	Status  int            `json:"status"`
	Detail  string         `json:"detail,omitempty"`
	Outcome reason.Outcome `json:"outcome"`
	Reason  reason.Reason  `json:"reason"`
}

// writeBody writes a response in one piece with its Content-Length; nbhttp breaks up large responses without one.
func writeBody(w http.ResponseWriter, status int, contentType string, body []byte) {
	if contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if len(body) > 0 {
		_, _ = w.Write(body)
	}
}

func writeText(w http.ResponseWriter, status int, text string) {
	writeBody(w, status, "text/plain; charset=utf-8", []byte(text))
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		writeText(w, http.StatusInternalServerError, err.Error()+"\n")
		return
	}
	writeBody(w, status, "application/json", append(body, '\n'))
}

func (s *Server) writeProblem(w http.ResponseWriter, class string, err error) {
	refusal := reason.From(err)
	s.cfg.Metrics.Refused(class, refusal)
	if refusal.RetryAfter > 0 {
		seconds := int(math.Ceil(refusal.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	detail := refusal.Detail
	if refusal.Err != nil {
		detail = refusal.Err.Error()
	}
	status := refusal.Status()
	body, _ := json.Marshal(Problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: detail,
		Outcome: refusal.Outcome, Reason: refusal.Reason,
	})
	writeBody(w, status, "application/problem+json", append(body, '\n'))
}

// withContentLength buffers a handler's response and sends it with a Content-Length.
func withContentLength(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := &responseBuffer{header: w.Header(), status: http.StatusOK}
		next.ServeHTTP(b, r)
		writeBody(w, b.status, "", b.body.Bytes())
	})
}

type responseBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (b *responseBuffer) Header() http.Header { return b.header }

// Write implements http.ResponseWriter.
func (b *responseBuffer) Write(p []byte) (int, error) { return b.body.Write(p) }

// WriteHeader implements http.ResponseWriter.
func (b *responseBuffer) WriteHeader(status int) { b.status = status }

// parseTimeout parses a duration like "1.5s" or a number of seconds.
func parseTimeout(text string, fallback time.Duration) (time.Duration, error) {
	if text == "" {
		return fallback, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil {
		seconds, floatErr := strconv.ParseFloat(text, 64)
		if floatErr != nil || math.IsNaN(seconds) || seconds > maxTimeout.Seconds() {
			return 0, reason.Refuse(reason.BadRequest, "%s: %q is no duration like 1.5s", headerTimeout, text)
		}
		timeout = time.Duration(seconds * float64(time.Second))
	}
	if timeout <= 0 || timeout > maxTimeout {
		return 0, reason.Refuse(reason.BadRequest, "%s: %s is not between 0 and %s", headerTimeout, timeout, maxTimeout)
	}
	return timeout, nil
}
