package lines

import (
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Figures of the budget.
const (
	// perKind is how many lines of one message are written a second: above what one group of workers starts at the target.
	perKind = 400
	// window is the time that a budget covers.
	window = time.Second
)

// Budget is a formatter that leaves out lines of a message beyond its budget, and tells how many.
type Budget struct {
	Formatter logrus.Formatter
	// Lost returns how many lines the output has dropped.
	Lost func() uint64

	mu    sync.Mutex
	since time.Time
	count map[string]int
	over  map[string]int
}

// Format implements logrus.Formatter; it returns nothing for a line that is left out.
func (b *Budget) Format(e *logrus.Entry) ([]byte, error) {
	note := b.admit(e)
	if note == nil {
		return b.Formatter.Format(e)
	}
	if len(note) == 0 {
		return nil, nil
	}
	first, err := b.Formatter.Format(b.summary(e, note))
	if err != nil {
		return nil, err
	}
	line, err := b.Formatter.Format(e)
	return append(append([]byte(nil), first...), line...), err
}

// admit returns nil for a line within its budget, an empty map for one beyond, and what was left out when a window ends.
func (b *Budget) admit(e *logrus.Entry) map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var left map[string]int
	if e.Time.Sub(b.since) >= window || b.count == nil || e.Time.Before(b.since) {
		left = b.begin(e.Time)
	}
	b.count[e.Message]++
	if b.count[e.Message] > perKind && e.Level >= logrus.InfoLevel {
		b.over[e.Message]++
		return map[string]int{}
	}
	return left
}

// begin opens a window and returns what the last one left out, or nil.
func (b *Budget) begin(at time.Time) map[string]int {
	left := b.over
	b.since, b.count, b.over = at, map[string]int{}, map[string]int{}
	if b.Lost != nil {
		if n := b.Lost(); n > 0 {
			left = maps.Clone(left)
			if left == nil {
				left = map[string]int{}
			}
			left["output"] += int(n)
		}
	}
	if len(left) == 0 {
		return nil
	}
	return left
}

func (b *Budget) summary(e *logrus.Entry, left map[string]int) *logrus.Entry {
	s := logrus.NewEntry(e.Logger)
	s.Time, s.Level, s.Message = e.Time, logrus.WarnLevel, "lines left out"
	s.Data = logrus.Fields{}
	for message, n := range left {
		s.Data[message] = n
	}
	return s
}
