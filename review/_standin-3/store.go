package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// key names a row of the store.
type key struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// row is a row of the store, as it is sent.
type row struct {
	key
	Value   []byte `json:"value"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type change struct {
	row
	at time.Time
}

// store is the platform's store of rows, with a listener for each host, so that one of them can be refused.
type store struct {
	mu      sync.Mutex
	ver     uint64
	rows    map[key]row
	history []change
	// trimmed is the newest version that is not in the history any more.
	trimmed uint64
	changed chan struct{}
	started time.Time
	// writes and reads bound the calls a second of all hosts together.
	writes, reads rate
	// parts are locked while a transaction takes its time.
	parts sync.Map
}

// rate is a bound of calls a second.
type rate struct {
	mu     sync.Mutex
	second int64
	n      int
}

// take reports whether one more call of this second is within the limit.
func (r *rate) take(limit int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now().Unix(); now != r.second {
		r.second, r.n = now, 0
	}
	r.n++
	return r.n <= limit
}

const (
	// partTime is how long a part is busy with a transaction, of which it takes 200 a second; the answer comes after txTime.
	partTime     = 5 * time.Millisecond
	txTime       = 6 * time.Millisecond
	writesPerS   = 600
	readsPerS    = 2000
	retention    = 20 * time.Second
	maxRows      = 500
	maxPageBytes = 1 << 20
	rowBytes     = 65536
)

func newStore() *store {
	return &store{rows: map[key]row{}, changed: make(chan struct{}), started: time.Now()}
}

// serve serves the hosts.
func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.tx)
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			allowed := true
			if r.Method == http.MethodPost {
				allowed = s.writes.take(writesPerS)
			} else {
				allowed = s.reads.take(readsPerS)
			}
			if !allowed {
				reply(w, http.StatusTooManyRequests, struct{}{})
				return
			}
			mux.ServeHTTP(w, r)
		}))
	}()
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func (s *store) now() int64 { return time.Since(s.started).Milliseconds() }

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []row `json:"expected_rev"`
		Writes   []row `json:"writes"`
		Remove   []key `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	parts := map[string]bool{}
	for _, e := range in.Expected {
		parts[e.Part] = true
	}
	for _, e := range in.Writes {
		parts[e.Part] = true
		if e.Table == "op" || e.Table == "servers" {
			reply(w, http.StatusForbidden, struct{}{})
			return
		}
		if len(e.Value) > rowBytes {
			reply(w, http.StatusRequestEntityTooLarge, struct{}{})
			return
		}
	}
	for _, e := range in.Remove {
		parts[e.Part] = true
	}
	if len(parts) > 1 || len(in.Expected)+len(in.Writes)+len(in.Remove) > 100 {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	for part := range parts {
		s.occupy(part)
	}
	time.Sleep(txTime - partTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	for _, e := range in.Expected {
		conflict = conflict || s.rows[e.key].Ver != e.Ver
	}
	if conflict {
		rows := []row{}
		for _, e := range in.Expected {
			if have, ok := s.rows[e.key]; ok {
				rows = append(rows, have)
			}
		}
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": rows, "ver": s.ver, "now_ms": s.now()})
		return
	}
	s.apply(in.Writes, in.Remove)
	reply(w, http.StatusOK, map[string]any{"ver": s.ver, "now_ms": s.now()})
}

// occupy takes the time of a part for one transaction.
func (s *store) occupy(part string) {
	lock, _ := s.parts.LoadOrStore(part, &sync.Mutex{})
	mu := lock.(*sync.Mutex)
	mu.Lock()
	defer mu.Unlock()
	time.Sleep(partTime)
}

// apply writes rows under one new version. The lock is held.
func (s *store) apply(writes []row, remove []key) {
	s.ver++
	now := time.Now()
	for _, e := range writes {
		e.Ver, e.Deleted = s.ver, false
		s.rows[e.key] = e
		s.history = append(s.history, change{e, now})
	}
	for _, k := range remove {
		if _, ok := s.rows[k]; ok {
			delete(s.rows, k)
			s.history = append(s.history, change{row{key: k, Ver: s.ver, Deleted: true}, now})
		}
	}
	n := 0
	for n < len(s.history) && now.Sub(s.history[n].at) > retention {
		s.trimmed = s.history[n].Ver
		n++
	}
	s.history = append([]change(nil), s.history[n:]...)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator or a worker does.
func (s *store) put(table, name string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{key: key{Table: table, Key: name}, Value: raw}}, nil)
}

// drop removes a row as the platform does.
func (s *store) drop(table, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []key{{Table: table, Key: name}})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxRows || limit < 1 {
		limit = maxRows
	}
	from, target := q.Get("from"), q.Get("target")
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	rows := []row{}
	for k, e := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= from && (target == "" || k.Key < target) {
			rows = append(rows, e)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	more, size := false, 0
	for i, e := range rows {
		if size += len(e.Value)*4/3 + 200; i >= limit || (i > 0 && size > maxPageBytes) {
			rows, more = rows[:i], true
			break
		}
	}
	reply(w, http.StatusOK, map[string]any{"rows": rows, "more_pages": more, "ver": ver, "now_ms": s.now()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		if after < s.trimmed {
			s.mu.Unlock()
			reply(w, http.StatusGone, struct{}{})
			return
		}
		rows := []row{}
		for _, c := range s.history {
			if c.Ver > after && c.Table == q.Get("table") {
				rows = append(rows, c.row)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver, "now_ms": s.now()})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			reply(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver, "now_ms": s.now()})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// holder returns the host that wrote the lease of the service's group last, as its row says; that is used to choose a process, not to judge.
func (s *store) holder() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lease struct {
		Holder string `json:"holder"`
	}
	_ = json.Unmarshal(s.rows[key{Table: "cells", Part: service, Key: "epoch"}].Value, &lease)
	return lease.Holder
}
