package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record is the file record.txt of a case.
type Record struct {
	mu    sync.Mutex
	w     *bufio.Writer
	f     *os.File
	start time.Time
}

func newRecord(dir string) *Record {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fatal(err)
	}
	return &Record{w: bufio.NewWriter(f), f: f, start: time.Now()}
}

// Line writes a line with the time since the start.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f  "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Say writes a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Line(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *Record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}

// cleanUp ends what a play has started; it is set once there is something.
var cleanUp = func() {}

// fatal ends the play, which couldn't run.
func fatal(err error) {
	cleanUp()
	fmt.Fprintln(os.Stderr, "the case can't run:", err)
	os.Exit(2)
}
