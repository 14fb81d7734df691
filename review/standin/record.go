package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

type eventKind int

const (
	evStart eventKind = iota
	evEnd
	evAck
	evRejected
	// evLapse says that the lease of a worker has lapsed.
	evLapse
)

var kindNames = map[eventKind]string{evStart: "start", evEnd: "end", evAck: "acknowledged", evRejected: "rejected", evLapse: "lapse"}

// event is what a worker has seen of a run.
type event struct {
	at     time.Duration
	kind   eventKind
	task   string
	run    int
	worker string
	// n is the number of an end, or the token of a start.
	n   uint64
	how string
}

// recorder writes what happens to a file and keeps the workers' events.
type recorder struct {
	mu     sync.Mutex
	began  time.Time
	file   *os.File
	out    *bufio.Writer
	events []event
	// rejected counts the rejected starts, of which only some are written.
	rejected int
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

func (r *recorder) ms() int64 { return time.Since(r.began).Milliseconds() }

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) add(e event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.at = time.Since(r.began)
	r.events = append(r.events, e)
	if e.kind == evRejected {
		if r.rejected++; r.rejected > 50 {
			return
		}
	}
	fmt.Fprintf(r.out, "%8.3f %s: %s task %s run %d n %d %s\n", e.at.Seconds(), e.worker, kindNames[e.kind], e.task, e.run, e.n, e.how)
}

func (r *recorder) snapshot() []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]event(nil), r.events...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
