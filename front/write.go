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

// Problem is an error answer after RFC 9457, with what is known about the work.
type Problem struct {
	Type    string         `json:"type"`
	Title   string         `json:"title"`
	Status  int            `json:"status"`
	Detail  string         `json:"detail,omitempty"`
	Outcome reason.Outcome `json:"outcome"`
	Reason  reason.Reason  `json:"reason"`
}

// writeBody writes an answer in one piece with its length, without which the library tears large answers.
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

func (s *Server) refuse(w http.ResponseWriter, class string, err error) {
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

// buffered gives a handler's answer its length.
func buffered(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := &buffer{header: w.Header(), status: http.StatusOK}
		next.ServeHTTP(b, r)
		writeBody(w, b.status, "", b.body.Bytes())
	})
}

type buffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (b *buffer) Header() http.Header { return b.header }

// Write implements http.ResponseWriter.
func (b *buffer) Write(p []byte) (int, error) { return b.body.Write(p) }

// WriteHeader implements http.ResponseWriter.
func (b *buffer) WriteHeader(status int) { b.status = status }

// parseTimeout reads "1.5s" or a number of seconds.
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
