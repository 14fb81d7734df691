package loads

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"
)

// ReadTrace reads arrivals, one JSON object per line; lines that begin with # are comments.
func ReadTrace(r io.Reader) ([]Arrival, error) {
	var arrivals []Arrival
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
			return nil, fmt.Errorf("trace line %d: work is required, and at-us and bytes must be at least 0", n)
		}
		arrivals = append(arrivals, a)
	}
	return arrivals, scanner.Err()
}

// WriteTrace writes arrivals, one JSON object per line.
func WriteTrace(w io.Writer, arrivals []Arrival) error {
	encoder := json.NewEncoder(w)
	for _, a := range arrivals {
		if err := encoder.Encode(a); err != nil {
			return err
		}
	}
	return nil
}

// Recorder writes arriving requests to a trace.
type Recorder struct {
	mu        sync.Mutex
	out       *bufio.Writer
	startedAt time.Time
}

// NewRecorder returns a recorder that writes to out.
func NewRecorder(out io.Writer) *Recorder {
	return &Recorder{out: bufio.NewWriter(out), startedAt: time.Now()}
}

// Record appends a request to the trace.
func (r *Recorder) Record(work, params string, bytes int, timeout time.Duration, keyed bool) {
	line, err := json.Marshal(Arrival{
		AtMicros: time.Since(r.startedAt).Microseconds(), Work: work, Params: params, Bytes: bytes,
		TimeoutMillis: timeout.Milliseconds(), Keyed: keyed,
	})
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.out.Write(append(line, '\n'))
}

// Flush writes buffered data.
func (r *Recorder) Flush() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.out.Flush()
}
