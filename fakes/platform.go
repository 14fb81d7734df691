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

// Limits of the platform's table, in operations per second, and of an object.
const (
	WritesPerSecond = 400
	ReadsPerSecond  = 2000
	maxObjectBytes  = 64 << 20
)

// Mode sets the faults that the fake platform injects.
type Mode struct {
	// Down makes every request outside /admin fail with status 503.
	Down bool `json:"down"`
	// DelayMillis delays every request outside /admin.
	DelayMillis int64 `json:"slow-ms"`
	// LoseReplies is the number of upcoming commits that take effect but whose reply is lost.
	LoseReplies int `json:"lose-answers"`
	// HostListLagMillis is the delay after which a change appears in the list of hosts.
	HostListLagMillis int64 `json:"list-lag-ms"`
}

// Platform is an in-memory fake of the platform's table, object store and list of hosts.
type Platform struct {
	mu           sync.Mutex
	rows         map[string]store.Row
	keys         []string
	objects      map[string][]byte
	version      uint64
	mode         Mode
	hosts        map[string]store.Host
	listings     []hostListing
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter
	numCommits   uint64
	numQueries   uint64
}

type hostListing struct {
	recordedAt time.Time
	hosts      []store.Host
}

// NewPlatform returns an empty platform whose table is limited to the given rates.
func NewPlatform(writesPerSecond, readsPerSecond int) *Platform {
	return &Platform{
		rows:         map[string]store.Row{},
		objects:      map[string][]byte{},
		hosts:        map[string]store.Host{},
		writeLimiter: rate.NewLimiter(rate.Limit(writesPerSecond), writesPerSecond/4),
		readLimiter:  rate.NewLimiter(rate.Limit(readsPerSecond), readsPerSecond/4),
	}
}

// Handler returns the platform's HTTP API, with fault injection and administration under /admin.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/tx", p.injectFaults(p.serveTx))
	mux.HandleFunc("POST /v1/read", p.injectFaults(p.serveRead))
	mux.HandleFunc("GET /v1/hosts", p.injectFaults(p.serveHosts))
	mux.HandleFunc("PUT /v1/objects/{key}", p.injectFaults(p.servePutObject))
	mux.HandleFunc("GET /v1/objects/{key}", p.injectFaults(p.serveGetObject))
	mux.HandleFunc("PUT /admin/mode", p.servePutMode)
	mux.HandleFunc("PUT /admin/hosts", p.servePutHost)
	mux.HandleFunc("DELETE /admin/hosts/{name}", p.serveDeleteHost)
	mux.HandleFunc("GET /admin/counts", p.serveCounts)
	return mux
}

// SetMode changes the faults that the platform injects.
func (p *Platform) SetMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
}

// SetHost adds a host to the list of hosts, or updates it.
func (p *Platform) SetHost(host store.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts[host.Name] = host
	p.recordListing()
}

func (p *Platform) recordListing() {
	hosts := make([]store.Host, 0, len(p.hosts))
	for _, host := range p.hosts {
		hosts = append(hosts, host)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	p.listings = append(p.listings, hostListing{recordedAt: time.Now(), hosts: hosts})
}

func (p *Platform) injectFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		mode := p.mode
		p.mu.Unlock()
		if mode.DelayMillis > 0 {
			select {
			case <-time.After(time.Duration(mode.DelayMillis) * time.Millisecond):
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
	if err := p.writeLimiter.Wait(r.Context()); err != nil {
		return
	}
	reply, replyLost := p.commit(tx)
	if replyLost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, reply)
}

func (p *Platform) commit(tx store.Tx) (store.TxReply, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.numCommits++
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
	replyLost := p.mode.LoseReplies > 0
	if replyLost {
		p.mode.LoseReplies--
	}
	return reply, replyLost
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
	if err := p.readLimiter.Wait(r.Context()); err != nil {
		return
	}
	writeJSON(w, http.StatusOK, p.query(q))
}

func (p *Platform) query(q store.Query) store.QueryReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.numQueries++
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
	cutoff := time.Now().Add(-time.Duration(p.mode.HostListLagMillis) * time.Millisecond)
	hosts := []store.Host{}
	for _, l := range p.listings {
		if !l.recordedAt.After(cutoff) {
			hosts = l.hosts
		}
	}
	writeJSON(w, http.StatusOK, hosts)
}

func (p *Platform) servePutObject(w http.ResponseWriter, r *http.Request) {
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

func (p *Platform) serveGetObject(w http.ResponseWriter, r *http.Request) {
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

func (p *Platform) servePutMode(w http.ResponseWriter, r *http.Request) {
	var mode Mode
	if err := json.NewDecoder(r.Body).Decode(&mode); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetMode(mode)
	writeJSON(w, http.StatusOK, mode)
}

func (p *Platform) servePutHost(w http.ResponseWriter, r *http.Request) {
	var host store.Host
	if err := json.NewDecoder(r.Body).Decode(&host); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetHost(host)
	writeJSON(w, http.StatusOK, host)
}

func (p *Platform) serveDeleteHost(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.hosts, r.PathValue("name"))
	p.recordListing()
	writeJSON(w, http.StatusOK, struct{}{})
}

// Counts holds the numbers of commits (conflicting ones included) and queries so far, and of rows.
type Counts struct {
	Commits uint64 `json:"commits"`
	Queries uint64 `json:"queries"`
	Rows    int    `json:"rows"`
}

func (p *Platform) serveCounts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, http.StatusOK, Counts{Commits: p.numCommits, Queries: p.numQueries, Rows: len(p.rows)})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
