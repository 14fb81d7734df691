package lines

import (
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Limits of the budget.
const (
	// maxLinesPerMessage is how many lines of one message are written per second: above the number of tasks that one group of
	// workers starts at the target load.
	maxLinesPerMessage = 400
	// budgetWindow is the period that a budget covers.
	budgetWindow = time.Second
)

// Budget is a formatter that suppresses info and debug lines of a message beyond its budget and reports how many were suppressed.
type Budget struct {
	Formatter logrus.Formatter
	// Dropped returns how many lines the output has dropped since the last call.
	Dropped func() uint64

	mu          sync.Mutex
	windowStart time.Time
	lineCounts  map[string]int
	suppressed  map[string]int
}

// Format implements logrus.Formatter; it returns nothing for a suppressed line.
func (b *Budget) Format(e *logrus.Entry) ([]byte, error) {
	suppressed := b.admit(e)
	if suppressed == nil {
		return b.Formatter.Format(e)
	}
	if len(suppressed) == 0 {
		return nil, nil
	}
	summary, err := b.Formatter.Format(b.summary(e, suppressed))
	if err != nil {
		return nil, err
	}
	line, err := b.Formatter.Format(e)
	return append(append([]byte(nil), summary...), line...), err
}

// admit returns nil for a line within its budget and an empty map for one beyond it. For the first line of a window it returns the
// numbers of lines, by message, that were suppressed in the previous window.
func (b *Budget) admit(e *logrus.Entry) map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var suppressed map[string]int
	if e.Time.Sub(b.windowStart) >= budgetWindow || b.lineCounts == nil || e.Time.Before(b.windowStart) {
		suppressed = b.startWindow(e.Time)
	}
	b.lineCounts[e.Message]++
	if b.lineCounts[e.Message] > maxLinesPerMessage && e.Level >= logrus.InfoLevel {
		b.suppressed[e.Message]++
		return map[string]int{}
	}
	return suppressed
}

// startWindow starts a window and returns the numbers of lines that were suppressed in the previous one, or nil.
func (b *Budget) startWindow(at time.Time) map[string]int {
	suppressed := b.suppressed
	b.windowStart, b.lineCounts, b.suppressed = at, map[string]int{}, map[string]int{}
	if b.Dropped != nil {
		if n := b.Dropped(); n > 0 {
			suppressed = maps.Clone(suppressed)
			if suppressed == nil {
				suppressed = map[string]int{}
			}
			suppressed["output"] += int(n)
		}
	}
	if len(suppressed) == 0 {
		return nil
	}
	return suppressed
}

func (b *Budget) summary(e *logrus.Entry, suppressed map[string]int) *logrus.Entry {
	s := logrus.NewEntry(e.Logger)
	s.Time, s.Level, s.Message = e.Time, logrus.WarnLevel, "lines left out"
	s.Data = logrus.Fields{}
	for message, n := range suppressed {
		s.Data[message] = n
	}
	return s
}
