package table

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/corianderdrift/corianderdrift/clock"
)

// Limits of loading.
const (
	// maxConcurrentReads bounds the ranges that are read at a time.
	maxConcurrentReads = 24
	// Bounds of the bytes that are asked for at a time, and their initial value.
	minLoadBytes, initialLoadBytes, maxLoadBytes = 16 << 10, 64 << 10, 4 << 20
	// Initial estimates of the sizes of a row and of a page.
	initialRowBytes, initialPageBytes = 512, 16 << 10
	// rowOverheadBytes is what a row takes beside its name and value, which is sent as base64.
	rowOverheadBytes, base64Ratio = 60, 4.0 / 3
	maxPageRows                   = 1000
	// More is asked for after an answer within quickAnswer, or within steadyFactor times the shortest recent one: a slow table isn't a
	// narrow link. Less is asked for after one that took slowAnswer and queuedFactor times the shortest recent one: what waits behind
	// these bytes includes the renewal of the lease.
	quickAnswer, slowAnswer    = 100 * time.Millisecond, 300 * time.Millisecond
	steadyFactor, queuedFactor = 1.2, 2.0
	recentAnswers              = 10 * time.Second
	// sizeWeight is the weight of a new answer in the moving averages of sizes.
	sizeWeight = 0.3
)

// Loader reads ranges of a table. It reads pages whose size and number in flight fit the link, and keeps what was read when a call fails:
// on a narrow link the whole may take many times as long as a call.
type Loader struct {
	Store Store
	// Timeout returns the timeout of a call.
	Timeout func() time.Duration
	// OnAnswer and OnFailure, if set, are called after every call.
	OnAnswer  func(Answer)
	OnFailure func(err error, sentAt time.Time)
	// Keep, if set, returns what is kept of the rows of a page until all are read. More is read once it has returned.
	Keep func(ctx context.Context, rows []Row) []Row

	budget, rowBytes, pageBytes float64
	// shrunkAt is when budget was last reduced: answers to calls sent before say nothing about the present budget.
	shrunkAt time.Time
	recent   []answerTime
}

// answerTime is how long an answer took.
type answerTime struct {
	at   time.Time
	took time.Duration
}

// partialRange is a range of which the rows up to next.From were read.
type partialRange struct {
	next    Range
	rows    []Row
	version uint64
}

// loadedPage is the outcome of reading a page of the range with the given index.
type loadedPage struct {
	index  int
	page   Page
	err    error
	sentAt time.Time
}

// Load reads the ranges, retrying until it succeeds or ctx is done; it returns their rows, and the version from which changes can be
// followed.
func (l *Loader) Load(ctx context.Context, ranges []Range) ([]Row, uint64, error) {
	if l.budget == 0 {
		l.budget, l.rowBytes, l.pageBytes = initialLoadBytes, initialRowBytes, initialPageBytes
	}
	parts := make([]partialRange, len(ranges))
	var waiting []int
	for i, r := range ranges {
		parts[i].next = r
		waiting = append(waiting, i)
	}
	pages := make(chan loadedPage, len(ranges))
	inFlight := 0
	for len(waiting) > 0 || inFlight > 0 {
		for len(waiting) > 0 && inFlight < l.window() {
			i := waiting[0]
			waiting = waiting[1:]
			r := parts[i].next
			r.Limit = l.pageRows()
			inFlight++
			go func() { pages <- l.read(ctx, i, r) }()
		}
		p := <-pages
		inFlight--
		switch {
		case ctx.Err() != nil:
			return nil, 0, ctx.Err()
		case p.err != nil:
			l.shrink(p.sentAt)
			if l.OnFailure != nil {
				l.OnFailure(p.err, p.sentAt)
			}
			waiting = append(waiting, p.index)
			clock.Pause(ctx, followRetryDelay)
			continue
		}
		if l.OnAnswer != nil {
			l.OnAnswer(p.page.Answer)
		}
		l.adapt(p)
		if !parts[p.index].add(ctx, p.page, l.Keep) {
			waiting = append(waiting, p.index)
		}
	}
	var rows []Row
	versions := make([]uint64, len(parts))
	for i := range parts {
		rows = append(rows, parts[i].rows...)
		versions[i] = parts[i].version
	}
	if len(versions) == 0 {
		return nil, 0, errNoRanges
	}
	return rows, slices.Min(versions), nil
}

var errNoRanges = errors.New("table: no ranges to load")

func (l *Loader) read(ctx context.Context, index int, r Range) loadedPage {
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, l.Timeout())
	defer cancel()
	page, err := l.Store.Read(ctx, r)
	return loadedPage{index, page, err, sentAt}
}

// add adds a page, and reports whether the range is complete.
func (p *partialRange) add(ctx context.Context, page Page, keep func(context.Context, []Row) []Row) bool {
	if p.version == 0 {
		p.version = page.Version
	}
	complete := !page.More || len(page.Rows) == 0
	if !complete {
		p.next.From = page.Rows[len(page.Rows)-1].Name + "\x00"
	}
	if keep != nil {
		page.Rows = keep(ctx, page.Rows)
	}
	p.rows = append(p.rows, page.Rows...)
	return complete
}

// window returns how many calls may be in flight.
func (l *Loader) window() int {
	return max(1, min(maxConcurrentReads, int(l.budget/l.pageBytes)))
}

// pageRows returns how many rows a page may have.
func (l *Loader) pageRows() int {
	return max(1, min(maxPageRows, int(l.budget/l.rowBytes)))
}

func (l *Loader) shrink(sentAt time.Time) {
	if sentAt.After(l.shrunkAt) {
		l.budget, l.shrunkAt = max(minLoadBytes, l.budget/2), time.Now()
	}
}

// adapt learns from an answer how much may be asked for at a time.
func (l *Loader) adapt(p loadedPage) {
	now := time.Now()
	took := now.Sub(p.sentAt)
	size := 0.0
	for _, row := range p.page.Rows {
		size += rowOverheadBytes + float64(len(row.Partition)+len(row.Name)) + base64Ratio*float64(len(row.Value))
	}
	if n := len(p.page.Rows); n > 0 {
		l.rowBytes += sizeWeight * (size/float64(n) - l.rowBytes)
	}
	l.pageBytes += sizeWeight * (max(size, rowOverheadBytes) - l.pageBytes)
	l.recent = slices.DeleteFunc(l.recent, func(a answerTime) bool { return now.Sub(a.at) > recentAnswers })
	shortest := 0.0
	for _, a := range l.recent {
		if shortest == 0 || a.took.Seconds() < shortest {
			shortest = a.took.Seconds()
		}
	}
	l.recent = append(l.recent, answerTime{now, took})
	switch {
	case took <= quickAnswer, took.Seconds() <= steadyFactor*shortest:
		l.budget = min(maxLoadBytes, l.budget+size)
	case took >= slowAnswer && shortest > 0 && took.Seconds() >= queuedFactor*shortest:
		l.shrink(p.sentAt)
	}
}
