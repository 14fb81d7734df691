package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, those of the example settings of the users' pages.
const (
	storeAnswer   = 4 * time.Millisecond
	storeTx       = 6 * time.Millisecond
	rowBytes      = 65536
	maxTxEntries  = 100
	maxTxBytes    = 1 << 20
	maxPageRows   = 500
	writesPerS    = 600
	readsPerS     = 2000
	maxFeedWaitMS = 30000
)

type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type storeRow struct {
	rowKey
	Value   string `json:"value"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
	at      time.Time
}

// Store is a stand-in of the platform's store.
type Store struct {
	mu      sync.Mutex
	rows    map[rowKey]*storeRow
	ver     uint64
	changed chan struct{}
	parts   map[string]*sync.Mutex
	started time.Time
	writes  bucket
	reads   bucket
	rec     *Record
	// Refused counts the transactions that were refused with a status, by status.
	Refused map[int]int
	// Filter, if set, may answer a transaction itself.
	Filter func(w http.ResponseWriter, r *http.Request) bool
}

type bucket struct {
	rate, level float64
	at          time.Time
}

func (b *bucket) take() bool {
	now := time.Now()
	if b.at.IsZero() {
		b.level = b.rate
	} else {
		b.level = min(b.rate, b.level+b.rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

func newStore(rec *Record) *Store {
	return &Store{
		rows: map[rowKey]*storeRow{}, changed: make(chan struct{}), parts: map[string]*sync.Mutex{}, started: time.Now(), rec: rec,
		writes: bucket{rate: writesPerS}, reads: bucket{rate: readsPerS}, Refused: map[int]int{},
	}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a row for the operator or a worker.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	k := rowKey{Table: table, Key: key}
	s.rows[k] = &storeRow{rowKey: k, Value: base64.StdEncoding.EncodeToString(value), Ver: s.ver, at: time.Now()}
	s.notify()
}

// Remove removes a row for the operator or a worker.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	k := rowKey{Table: table, Key: key}
	s.rows[k] = &storeRow{rowKey: k, Ver: s.ver, Deleted: true, at: time.Now()}
	s.notify()
}

func (s *Store) reply(w http.ResponseWriter, status int, body map[string]any) {
	if body == nil {
		body = map[string]any{}
	}
	body["now_ms"] = time.Since(s.started).Milliseconds()
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func (s *Store) refuse(w http.ResponseWriter, status int) {
	s.mu.Lock()
	s.Refused[status]++
	n, ver := s.Refused[status], s.ver
	s.mu.Unlock()
	if n <= 3 || n%200 == 0 {
		s.rec.Line("store refused a transaction with %d (%d so far)", status, n)
	}
	s.reply(w, status, map[string]any{"ver": ver})
}

// ServeHTTP serves the calls on rows.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.Filter != nil && s.Filter(w, r) {
		return
	}
	switch r.URL.Path {
	case "/v1/rows-tx":
		s.tx(w, r)
	case "/v1/rows-get":
		s.get(w, r)
	case "/v1/rows-feed":
		s.feed(w, r)
	default:
		s.reply(w, http.StatusNotFound, nil)
	}
}

type txBody struct {
	Expected []struct {
		rowKey
		Ver uint64 `json:"ver"`
	} `json:"expected_rev"`
	Writes []struct {
		rowKey
		Value string `json:"value"`
	} `json:"writes"`
	Remove []rowKey `json:"remove"`
}

func (s *Store) tx(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	ok := s.writes.take()
	s.mu.Unlock()
	if !ok {
		s.refuse(w, http.StatusTooManyRequests)
		return
	}
	raw := make([]byte, 0, 1024)
	buf := make([]byte, 64<<10)
	for len(raw) <= maxTxBytes {
		n, err := r.Body.Read(buf)
		raw = append(raw, buf[:n]...)
		if err != nil {
			break
		}
	}
	var body txBody
	if len(raw) > maxTxBytes {
		s.refuse(w, http.StatusRequestEntityTooLarge)
		return
	}
	if json.Unmarshal(raw, &body) != nil || len(body.Expected)+len(body.Writes)+len(body.Remove) > maxTxEntries {
		s.refuse(w, http.StatusBadRequest)
		return
	}
	parts := map[string]bool{}
	for _, e := range body.Expected {
		parts[e.Part] = true
	}
	for _, e := range body.Remove {
		parts[e.Part] = true
	}
	for _, e := range body.Writes {
		parts[e.Part] = true
		value, err := base64.StdEncoding.DecodeString(e.Value)
		switch {
		case err != nil:
			s.refuse(w, http.StatusBadRequest)
			return
		case len(value) > rowBytes:
			s.refuse(w, http.StatusRequestEntityTooLarge)
			return
		case e.Table == "op" || e.Table == "servers":
			s.refuse(w, http.StatusForbidden)
			return
		}
	}
	if len(parts) > 1 {
		s.refuse(w, http.StatusBadRequest)
		return
	}
	time.Sleep(storeAnswer)
	for p := range parts {
		s.mu.Lock()
		m, ok := s.parts[p]
		if !ok {
			m = &sync.Mutex{}
			s.parts[p] = m
		}
		s.mu.Unlock()
		m.Lock()
		time.Sleep(storeTx)
		defer m.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	rows := []storeRow{}
	for _, e := range body.Expected {
		now := uint64(0)
		current := storeRow{rowKey: e.rowKey}
		if have := s.rows[e.rowKey]; have != nil && !have.Deleted {
			now, current = have.Ver, *have
		}
		rows = append(rows, current)
		conflict = conflict || now != e.Ver
	}
	if conflict {
		s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": rows, "ver": s.ver})
		return
	}
	s.ver++
	for _, e := range body.Writes {
		s.rows[e.rowKey] = &storeRow{rowKey: e.rowKey, Value: e.Value, Ver: s.ver, at: time.Now()}
	}
	for _, k := range body.Remove {
		if have := s.rows[k]; have != nil && !have.Deleted {
			s.rows[k] = &storeRow{rowKey: k, Ver: s.ver, Deleted: true, at: time.Now()}
		}
	}
	s.notify()
	s.reply(w, http.StatusOK, map[string]any{"ver": s.ver})
}

func (s *Store) takeRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads.take()
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	if !s.takeRead() {
		s.refuse(w, http.StatusTooManyRequests)
		return
	}
	time.Sleep(storeAnswer)
	q := r.URL.Query()
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []storeRow{}
	for k, row := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && !row.Deleted && k.Key >= q.Get("from") &&
			(q.Get("target") == "" || k.Key < q.Get("target")) {
			rows = append(rows, *row)
		}
	}
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	more, size := false, 0
	for i := range rows {
		size += len(rows[i].Value) + 100
		if i == limit || (i > 0 && size > maxTxBytes) {
			rows, more = rows[:i], true
			break
		}
	}
	s.reply(w, http.StatusOK, map[string]any{"rows": rows, "more_pages": more, "ver": s.ver})
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	if !s.takeRead() {
		s.refuse(w, http.StatusTooManyRequests)
		return
	}
	time.Sleep(storeAnswer)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(wait, maxFeedWaitMS))*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		rows := []storeRow{}
		for k, row := range s.rows {
			if k.Table == q.Get("table") && row.Ver > after {
				rows = append(rows, *row)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || ctx.Err() != nil {
			sort.Slice(rows, func(a, b int) bool { return rows[a].Ver < rows[b].Ver })
			s.reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
