package fakes

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/corianderdrift/corianderdrift/store"
)

// The budget of the platform's table, in operations a second.
const (
	WritesPerSecond = 400
	ReadsPerSecond  = 2000
	maxObjectBytes  = 64 << 20
)

// Mode is how the stand-in platform misbehaves.
type Mode struct {
	// Down refuses everything.
	Down bool `json:"down"`
	// SlowMillis delays every answer.
	SlowMillis int64 `json:"slow-ms"`
	// LoseAnswers counts the coming commits whose answer is lost after they took effect.
	LoseAnswers int `json:"lose-answers"`
	// ListLagMillis is how far the list of hosts lags behind.
	ListLagMillis int64 `json:"list-lag-ms"`
}

// Platform is a stand-in of the platform's table, object store and list of hosts, all in memory.
type Platform struct {
	mu      sync.Mutex
	rows    map[string]store.Row
	keys    []string
	objects map[string][]byte
	version uint64
	mode    Mode
	hosts   map[string]store.Host
	listed  []listing
	writes  *rate.Limiter
	reads   *rate.Limiter
	commits uint64
	queries uint64
}

type listing struct {
	since time.Time
	hosts []store.Host
}

// NewPlatform returns an empty platform with the given budget in operations a second.
func NewPlatform(writes, reads int) *Platform {
	return &Platform{
		rows:    map[string]store.Row{},
		objects: map[string][]byte{},
		hosts:   map[string]store.Host{},
		writes:  rate.NewLimiter(rate.Limit(writes), writes/4),
		reads:   rate.NewLimiter(rate.Limit(reads), reads/4),
	}
}

// Handler serves the platform's interface and, under /admin, its switches.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tx", p.guard(p.serveTx))
	mux.HandleFunc("POST /v1/read", p.guard(p.serveRead))
	mux.HandleFunc("GET /v1/hosts", p.guard(p.serveHosts))
	mux.HandleFunc("PUT /v1/objects/{key}", p.guard(p.putObject))
	mux.HandleFunc("GET /v1/objects/{key}", p.guard(p.getObject))
	mux.HandleFunc("PUT /admin/mode", p.putMode)
	mux.HandleFunc("PUT /admin/hosts", p.putHost)
	mux.HandleFunc("DELETE /admin/hosts/{name}", p.deleteHost)
	mux.HandleFunc("GET /admin/counts", p.counts)
	return mux
}

// SetMode changes how the platform misbehaves.
func (p *Platform) SetMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
}

// SetHost adds or changes a line of the list of hosts.
func (p *Platform) SetHost(host store.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts[host.Name] = host
	p.relist()
}

func (p *Platform) relist() {
	hosts := make([]store.Host, 0, len(p.hosts))
	for _, host := range p.hosts {
		hosts = append(hosts, host)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	p.listed = append(p.listed, listing{since: time.Now(), hosts: hosts})
}

func (p *Platform) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		mode := p.mode
		p.mu.Unlock()
		if mode.SlowMillis > 0 {
			select {
			case <-time.After(time.Duration(mode.SlowMillis) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
		if mode.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

func (p *Platform) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx store.Tx
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := p.writes.Wait(r.Context()); err != nil {
		return
	}
	reply, lost := p.commit(tx)
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, reply)
}

func (p *Platform) commit(tx store.Tx) (store.TxReply, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.commits++
	var reply store.TxReply
	for _, check := range tx.Checks {
		row := p.rows[check.Key]
		if row.Version != check.Version {
			row.Key = check.Key
			reply.Conflicts = append(reply.Conflicts, row)
		}
	}
	if len(reply.Conflicts) > 0 {
		return reply, false
	}
	p.version++
	for _, write := range tx.Writes {
		p.apply(write)
	}
	reply.Version = p.version
	lost := p.mode.LoseAnswers > 0
	if lost {
		p.mode.LoseAnswers--
	}
	return reply, lost
}

func (p *Platform) apply(write store.Write) {
	i := sort.SearchStrings(p.keys, write.Key)
	exists := i < len(p.keys) && p.keys[i] == write.Key
	if write.Delete {
		delete(p.rows, write.Key)
		if exists {
			p.keys = append(p.keys[:i], p.keys[i+1:]...)
		}
		return
	}
	p.rows[write.Key] = store.Row{Key: write.Key, Version: p.version, Value: write.Value}
	if !exists {
		p.keys = append(p.keys, "")
		copy(p.keys[i+1:], p.keys[i:])
		p.keys[i] = write.Key
	}
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	var q store.Query
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := p.reads.Wait(r.Context()); err != nil {
		return
	}
	writeJSON(w, http.StatusOK, p.query(q))
}

func (p *Platform) query(q store.Query) store.QueryReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queries++
	reply := store.QueryReply{Rows: []store.Row{}}
	for _, key := range q.Keys {
		if row, ok := p.rows[key]; ok {
			reply.Rows = append(reply.Rows, row)
		}
	}
	for _, prefix := range q.Prefixes {
		for i := sort.SearchStrings(p.keys, prefix); i < len(p.keys) && strings.HasPrefix(p.keys[i], prefix); i++ {
			reply.Rows = append(reply.Rows, p.rows[p.keys[i]])
		}
	}
	return reply
}

func (p *Platform) serveHosts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	visible := time.Now().Add(-time.Duration(p.mode.ListLagMillis) * time.Millisecond)
	hosts := []store.Host{}
	for _, l := range p.listed {
		if !l.since.After(visible) {
			hosts = l.hosts
		}
	}
	writeJSON(w, http.StatusOK, hosts)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxObjectBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[objectKey(r)] = value
	writeJSON(w, http.StatusOK, struct{}{})
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	value, ok := p.objects[objectKey(r)]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	_, _ = w.Write(value)
}

func objectKey(r *http.Request) string {
	key, err := url.PathUnescape(r.PathValue("key"))
	if err != nil {
		return r.PathValue("key")
	}
	return key
}

func (p *Platform) putMode(w http.ResponseWriter, r *http.Request) {
	var mode Mode
	if err := json.NewDecoder(r.Body).Decode(&mode); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetMode(mode)
	writeJSON(w, http.StatusOK, mode)
}

func (p *Platform) putHost(w http.ResponseWriter, r *http.Request) {
	var host store.Host
	if err := json.NewDecoder(r.Body).Decode(&host); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetHost(host)
	writeJSON(w, http.StatusOK, host)
}

func (p *Platform) deleteHost(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.hosts, r.PathValue("name"))
	p.relist()
	writeJSON(w, http.StatusOK, struct{}{})
}

// Counts is how much was asked of the table.
type Counts struct {
	Commits uint64 `json:"commits"`
	Queries uint64 `json:"queries"`
	Rows    int    `json:"rows"`
}

func (p *Platform) counts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, http.StatusOK, Counts{Commits: p.commits, Queries: p.queries, Rows: len(p.rows)})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
