package main

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits and latencies of the store, from the settings and from PROTOCOL.md.
const (
	rowBytes     = 65536
	maxEntries   = 100
	maxCallBytes = 1 << 20
	maxPageRows  = 500
	readLatency  = 4 * time.Millisecond
	txLatency    = 6 * time.Millisecond
)

type key struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type row struct {
	key
	Value   []byte `json:"value"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type txEntry struct {
	key
	Ver   uint64 `json:"ver"`
	Value []byte `json:"value"`
}

type tx struct {
	Expected []txEntry `json:"expected_rev"`
	Writes   []txEntry `json:"writes"`
	Remove   []txEntry `json:"remove"`
}

// storeFault says what happens to a write.
type storeFault int

const (
	faultNone storeFault = iota
	// faultLate means that the write gets no answer and is performed some seconds later, if its condition still holds.
	faultLate
)

// store is the platform's metadata store.
type store struct {
	rec *recorder

	mu      sync.Mutex
	ver     uint64
	rows    map[key]row
	changes []row
	changed chan struct{}
	parts   map[string]*sync.Mutex
	// fault returns the disruption of a write that is about to be performed, and the delay of a late one.
	fault func(t tx) (storeFault, time.Duration)
	// tooLarge counts the transactions that were rejected because a row or the call was too large.
	tooLarge int
}

func newStore(rec *recorder) *store {
	return &store{rec: rec, ver: 1, rows: map[key]row{}, changed: make(chan struct{}), parts: map[string]*sync.Mutex{}}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.serveTx)
	mux.HandleFunc("GET /v1/rows-get", s.serveGet)
	mux.HandleFunc("GET /v1/rows-feed", s.serveFeed)
	return mux
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

type object map[string]any

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var t tx
	if json.Unmarshal(raw, &t) != nil {
		reply(w, http.StatusBadRequest, object{"reason": "body"})
		return
	}
	if reason := checkTx(t, len(raw)); reason != "" {
		s.mu.Lock()
		s.tooLarge++
		n := s.tooLarge
		s.mu.Unlock()
		if n <= 3 {
			s.rec.log("store rejects a transaction with 400: %s", reason)
		}
		reply(w, http.StatusBadRequest, object{"reason": reason})
		return
	}
	part := ""
	for _, list := range [][]txEntry{t.Expected, t.Writes, t.Remove} {
		for _, e := range list {
			part = e.Part
		}
	}
	if s.fault != nil {
		if kind, delay := s.fault(t); kind == faultLate {
			time.AfterFunc(delay, func() { s.apply(t) })
			<-r.Context().Done()
			return
		}
	}
	s.mu.Lock()
	lock, ok := s.parts[part]
	if !ok {
		lock = &sync.Mutex{}
		s.parts[part] = lock
	}
	s.mu.Unlock()
	lock.Lock()
	time.Sleep(txLatency)
	ver, conflict := s.apply(t)
	lock.Unlock()
	if conflict != nil {
		reply(w, http.StatusPreconditionFailed, object{"rows": conflict, "ver": ver, "now_ms": s.rec.ms()})
		return
	}
	reply(w, http.StatusOK, object{"ver": ver, "now_ms": s.rec.ms()})
}

// checkTx returns why a transaction exceeds the limits; empty if it does not.
func checkTx(t tx, size int) string {
	if n := len(t.Expected) + len(t.Writes) + len(t.Remove); n > maxEntries {
		return "more than 100 entries"
	}
	if size > maxCallBytes {
		return "more than 1 MB: " + strconv.Itoa(size) + " bytes"
	}
	for _, e := range t.Writes {
		if len(e.Value) > rowBytes {
			return "row " + e.Table + "/" + e.Part + "/" + e.Key + " has " + strconv.Itoa(len(e.Value)) + " bytes"
		}
	}
	return ""
}

// apply performs a transaction, or returns the rows that do not have the expected versions.
func (s *store) apply(t tx) (uint64, []row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflict []row
	failed := false
	for _, e := range t.Expected {
		if got, ok := s.rows[e.key]; got.Ver != e.Ver || ok != (e.Ver != 0) {
			failed = true
		}
	}
	if failed {
		for _, e := range t.Expected {
			if got, ok := s.rows[e.key]; ok {
				conflict = append(conflict, got)
			}
		}
		if conflict == nil {
			conflict = []row{}
		}
		return s.ver, conflict
	}
	s.ver++
	for _, e := range t.Writes {
		s.change(row{key: e.key, Value: e.Value, Ver: s.ver})
	}
	for _, e := range t.Remove {
		if _, ok := s.rows[e.key]; ok {
			s.change(row{key: e.key, Ver: s.ver, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.ver, nil
}

func (s *store) change(r row) {
	if r.Deleted {
		delete(s.rows, r.key)
	} else {
		s.rows[r.key] = r
	}
	s.changes = append(s.changes, r)
}

// put writes a row as the operator or a worker.
func (s *store) put(table, name string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.apply(tx{Writes: []txEntry{{key: key{table, "", name}, Value: raw}}})
}

// get returns the value of a row, nil if there is none.
func (s *store) get(k key) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[k].Value
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readLatency)
	q := r.URL.Query()
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 && n < limit {
		limit = n
	}
	s.mu.Lock()
	list := []row{}
	for k, v := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && (q.Get("target") == "" || k.Key < q.Get("target")) {
			list = append(list, v)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := false
	size := 0
	for i := range list {
		size += len(list[i].Value)*4/3 + 200
		if i >= limit || (i > 0 && size > maxCallBytes) {
			list, more = list[:i], true
			break
		}
	}
	reply(w, http.StatusOK, object{"rows": list, "more_pages": more, "ver": ver, "now_ms": s.rec.ms()})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		list := []row{}
		for i := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Ver > after }); i < len(s.changes); i++ {
			if s.changes[i].Table == q.Get("table") {
				list = append(list, s.changes[i])
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(list) > 0 || ctx.Err() != nil {
			time.Sleep(readLatency)
			reply(w, http.StatusOK, object{"rows": list, "ver": ver, "now_ms": s.rec.ms()})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
