package lines

import (
	"io"
	"sync"
	"sync/atomic"
)

// queueLength bounds the lines that wait for the output: about 1 MB of lines of usual length.
const queueLength = 4096

// Writer writes lines to an output in a goroutine of its own; lines that don't fit into its queue are dropped and counted.
type Writer struct {
	queue   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
	close   sync.Once
}

// NewWriter returns a Writer to out; Close flushes it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{queue: make(chan []byte, queueLength), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.queue {
			// There is nowhere to report a failure of the log output.
			_, _ = out.Write(line)
		}
	}()
	return w
}

// Write implements io.Writer; it never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	copied := append([]byte(nil), line...)
	select {
	case w.queue <- copied:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since the last call.
func (w *Writer) Dropped() uint64 { return w.dropped.Swap(0) }

// Close waits until the queued lines are written; Write must not be called afterwards.
func (w *Writer) Close() error {
	w.close.Do(func() { close(w.queue) })
	<-w.done
	return nil
}
