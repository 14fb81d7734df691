package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rig is a small deployment: the store, the advisor, workers, and hosts of the project as processes of their own.
type rig struct {
	rec     *recorder
	store   *store
	advisor *advisor
	workers []*worker
	hosts   []*hostProcess
	dir     string
	root    string
	// zones are the zones in which hosts and workers lie in turn.
	zones  []string
	ports  map[int]bool
	addr   string
	client *http.Client
}

func newRig(rec *recorder) (*rig, error) {
	root := os.Getenv("REVIEW_ROOT")
	if _, err := os.Stat(filepath.Join(root, "target", "corianderdrift")); err != nil {
		return nil, fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r := &rig{rec: rec, store: newStore(rec), advisor: newAdvisor(), dir: dir, root: root, zones: []string{"manta"}, ports: map[int]bool{}}
	r.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	mux := http.NewServeMux()
	mux.Handle("/", r.store.handler())
	mux.HandleFunc("POST /v1/advise", r.advisor.serve)
	mux.HandleFunc("GET /v1/machines", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, object{"machines": []object{}, "next_token": nil})
	})
	r.addr, err = serveOn(mux, nil)
	return r, err
}

// serveOn serves on a free loopback port and returns the address; track, if set, is told of each connection.
func serveOn(h http.Handler, track func(net.Conn, http.ConnState)) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h, ConnState: track}).Serve(l) }()
	return l.Addr().String(), nil
}

// freePorts returns the first of n free ports in a row, below those that the system gives to outgoing connections.
func (r *rig) freePorts(n int) (int, error) {
	for range 500 {
		first := 10000 + rand.IntN(20000)
		if r.areFree(first, n) {
			for p := first; p < first+n; p++ {
				r.ports[p] = true
			}
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d free ports in a row", n)
}

func (r *rig) areFree(first, n int) bool {
	for p := first; p < first+n; p++ {
		if r.ports[p] {
			return false
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// addWorker starts a worker and registers it.
func (r *rig) addWorker(service string, cpu, mem, gpus, number int) (*worker, error) {
	id := fmt.Sprintf("i-%08x", 0x7f3a0000+number)
	w := newWorker(id, service, r.rec)
	addr, err := serveOn(w.handler(), w.track)
	if err != nil {
		return nil, err
	}
	r.workers = append(r.workers, w)
	w.register = func() {
		r.store.put("servers", id, object{
			"service": service, "address": addr, "zone": r.zones[number%len(r.zones)], "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": object{"cpu": cpu, "mem_mb": mem, "gpus": gpus}, "labels": []string{"a", fmt.Sprintf("r1-%d", number/4)},
			"clock_ms": w.clock().Milliseconds(), "sequence": 1, "born": w.born.UnixMilli(), "machine": fmt.Sprintf("m-%05x", number),
		})
	}
	w.register()
	return w, nil
}

// hostProcess is a host of the project.
type hostProcess struct {
	name     string
	front    string
	ready    string
	settings string
	log      string
	cmd      *exec.Cmd
	done     chan struct{}
}

func (r *rig) addHost(n int) (*hostProcess, error) {
	front, err := r.freePorts(2)
	if err != nil {
		return nil, err
	}
	internal, err := r.freePorts(16)
	if err != nil {
		return nil, err
	}
	zone := r.zones[(n-1)%len(r.zones)]
	h := &hostProcess{
		name: fmt.Sprintf("front-%s-%d", zone, n), front: fmt.Sprintf("127.0.0.1:%d", front), ready: fmt.Sprintf("127.0.0.1:%d", front+1),
	}
	h.settings = filepath.Join(r.dir, h.name+".yaml")
	h.log = filepath.Join(r.dir, h.name+".log")
	text := fmt.Sprintf(`node_name: %q
role: "host"
machine_class: "front"
serves: ["front"]
ip: "127.0.0.1"
zone: %q
region: "manabi"
zones: {manta: "manabi", jaramijo: "manabi", sanmateo: "manabi", crucita: "manabi"}
listen_addrs: {front: %q, ready: %q}
internal_ports: [%d, %d]
seeds: []
bootstrap: true
loss_counts: false
limits: {cpu_share: 0.4, cpu_cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entrypoint: "vip"
heartbeat_ms: 1500
invariants: ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
fault_tolerance: {machines: 1, zones: 1, regions: 0}
bounds: {seed_staleness_s: 3, addr_reuse_s: 2, stability_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 6,
  loss_slack_ms: 200, config_apply_ms: 2000, downgrade_slack_ms: 250, max_stretch_ms: 5000, recovery_s: 12, hold_max_ms: 6000,
  stop_grace_ms: 200, gang_timeout_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120,
  remote_factor: 2, checkpoint_s: 0.5, restore_ms: 250, notice_ms: 4500, migrate_s: 1.5, maintenance_s: 2, require_fence: true,
  lease_ms: 3000, thaw_slack_ms: 300, pace_ms: 100, harm_ms: 4000}
control_mode: "request"
advice: %q
platform: {address: %q, form: "table", writes_per_s: 800, reads_per_s: 2000, tx_ms: 6.0, partition_writes_s: 200, row_bytes: 65536,
  across: false, retention_s: 20, blob_bytes: 8388608, blob_ms: 25.0, blob_mb_s: 80.0}
cloud_api: {address: %q, rate_per_s: 60.0, duties: [], duty_per_s: 60.0}
`, h.name, zone, h.front, h.ready, internal, internal+15, r.addr, r.addr, r.addr)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	r.hosts = append(r.hosts, h)
	return h, r.startHost(h)
}

func (r *rig) startHost(h *hostProcess) error {
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	h.cmd = exec.Command("target/corianderdrift", "serve", "--settings-from", "platform")
	h.cmd.Dir = r.root
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.dir, "LANG=C.UTF-8", "CORIANDERDRIFT_BOOT=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = out, out
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	r.rec.log("host %s started", h.name)
	h.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(h.cmd, h.done)
	return nil
}

// kill ends a host's process with SIGKILL.
func (r *rig) kill(h *hostProcess) {
	r.rec.log("host %s: SIGKILL", h.name)
	_ = h.cmd.Process.Signal(syscall.SIGKILL)
	<-h.done
}

// running reports whether a host's process runs.
func (h *hostProcess) running() bool {
	select {
	case <-h.done:
		return false
	default:
		return true
	}
}

func (r *rig) close() {
	for _, h := range r.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Signal(syscall.SIGKILL)
			<-h.done
		}
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
}

// await polls until f is true or the time is over.
func await(limit time.Duration, f func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}

// awaitReady waits until all hosts are ready, as the platform does before traffic starts.
func (r *rig) awaitReady() bool {
	return await(15*time.Second, func() bool {
		for _, h := range r.hosts {
			res, err := r.client.Get("http://" + h.ready + "/v1/ready")
			if err != nil {
				return false
			}
			_ = res.Body.Close()
			if res.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// holder returns the host that last wrote the lease of a service, which is the one that gives its workers orders.
func (r *rig) holder(service string) *hostProcess {
	var lease struct {
		Holder string `json:"holder"`
	}
	_ = json.Unmarshal(r.store.get(key{"cells", service, "epoch"}), &lease)
	for _, h := range r.hosts {
		if h.name == lease.Holder {
			return h
		}
	}
	return nil
}

const clientHost = "ficu95.example"

// call sends a client's request, with its patience in the header, and returns the status; 0 means no answer.
func (r *rig) call(h *hostProcess, method, path string, body any, patience time.Duration) (int, object) {
	raw := []byte{}
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+path, bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	req.Host = clientHost
	req.Header.Set("Corianderdrift-Deadline-Ms", fmt.Sprint(patience.Milliseconds()))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := r.client.Do(req)
	status := 0
	var answer object
	if err == nil {
		status = res.StatusCode
		content, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		_ = json.Unmarshal(content, &answer)
	}
	r.rec.log("client: %s %s at %s: %d %v", method, path, h.name, status, answer)
	return status, answer
}

// advisor is the service that knows which workers may run a step.
type advisor struct {
	mu      sync.Mutex
	tickets map[string]time.Time
	next    int
}

const ticketValidity = 1500 * time.Millisecond

func newAdvisor() *advisor { return &advisor{tickets: map[string]time.Time{}} }

func (a *advisor) serve(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Workers) > 100 {
		reply(w, http.StatusBadRequest, object{})
		return
	}
	time.Sleep(22*time.Millisecond + time.Duration(len(in.Workers))*320*time.Microsecond)
	allowed := [][]string{}
	a.mu.Lock()
	for _, id := range in.Workers {
		a.next++
		ticket := fmt.Sprintf("c%04x-%s", a.next, id)
		a.tickets[in.Step+" "+id+" "+ticket] = time.Now().Add(ticketValidity)
		allowed = append(allowed, []string{id, ticket})
	}
	a.mu.Unlock()
	reply(w, http.StatusOK, object{"allowed": allowed, "validity_ms": ticketValidity.Milliseconds()})
}

// valid reports whether a ticket is valid for a task on a worker now.
func (a *advisor) valid(task, worker, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	step := task[:strings.LastIndex(task, ".")]
	until, ok := a.tickets[step+" "+worker+" "+ticket]
	return ok && time.Now().Before(until)
}

// route is an entry of the operator's configuration.
func route(name, service string, advised bool) object {
	o := object{
		"name": name, "host": clientHost, "prefix": "/" + name + "/", "kind": "unsafe", "timeout_ms": 3000, "slo_ms": 3000,
		"priority": 1, "service": service, "attempts": 3, "stretch": 4.0,
	}
	if advised {
		o["advice"] = object{"decide_ms": 22.0, "each_ms": 0.32, "validity_ms": ticketValidity.Milliseconds()}
	}
	return o
}

// configure writes a version of the configuration.
func (r *rig) configure(version int, services []string, routes ...object) {
	list := []object{}
	for _, s := range services {
		list = append(list, object{
			"name": s, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "enforce_capacity": false, "standby": false,
		})
	}
	r.store.put("op", "config", object{
		"version": version, "routes": routes, "services": list,
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	names := []any{}
	for _, o := range routes {
		names = append(names, fmt.Sprintf("%v: %v to %v", o["name"], o["prefix"], o["service"]))
	}
	r.rec.log("operator: configuration %d with routes %v acknowledged", version, names)
}
