package loads

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"
)

// ReadTrace reads arrivals, one JSON object a line; lines that begin with # are comments.
func ReadTrace(r io.Reader) ([]Arrival, error) {
	var list []Arrival
	scanner := bufio.NewScanner(r)
	for n := 1; scanner.Scan(); n++ {
		line := scanner.Bytes()
		if len(line) == 0 || line[0] == '#' {
			continue
		}
		var a Arrival
		if err := json.Unmarshal(line, &a); err != nil {
			return nil, fmt.Errorf("trace line %d: %w", n, err)
		}
		if a.Work == "" || a.AtMicros < 0 || a.Bytes < 0 {
			return nil, fmt.Errorf("trace line %d: needs work, and at-us and bytes of at least 0", n)
		}
		list = append(list, a)
	}
	return list, scanner.Err()
}

// WriteTrace writes arrivals, one JSON object a line.
func WriteTrace(w io.Writer, list []Arrival) error {
	encoder := json.NewEncoder(w)
	for _, a := range list {
		if err := encoder.Encode(a); err != nil {
			return err
		}
	}
	return nil
}

// Recorder writes down arriving requests as a trace.
type Recorder struct {
	mu      sync.Mutex
	out     *bufio.Writer
	started time.Time
}

// NewRecorder returns a recorder that writes to out.
func NewRecorder(out io.Writer) *Recorder {
	return &Recorder{out: bufio.NewWriter(out), started: time.Now()}
}

// Record writes one request down.
func (r *Recorder) Record(work, params string, bytes int, timeout time.Duration, keyed bool) {
	line, err := json.Marshal(Arrival{
		AtMicros: time.Since(r.started).Microseconds(), Work: work, Params: params, Bytes: bytes,
		TimeoutMillis: timeout.Milliseconds(), Keyed: keyed,
	})
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.out.Write(append(line, '\n'))
}

// Flush writes what is buffered.
func (r *Recorder) Flush() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.out.Flush()
}
