package main

import (
	"bytes"
	crand "crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	memoryMB     = 284
	restartDelay = time.Second
	hostName     = "queues.example"
)

// address is the loopback address of everything in this play, one for each play, so that plays at the same time don't take each other's ports.
var address = fmt.Sprintf("127.%d.%d.1", 1+rand.N(200), rand.N(250))

// Host is a process of the system, which the supervisor starts again when it has ended.
type Host struct {
	Name, Front, Ready string
	settings           string
	// peer is the port for other hosts.
	peer int
	mu   sync.Mutex
	cmd  *exec.Cmd
	// Own counts the ends that the case has not caused, memory over the limit included.
	Own, OverMemory int
	peakMB          int
	stopped         bool
}

// replace adds a host, and takes one away for good: its process is killed, and its addresses don't answer any more.
func (c *Cell) replace(old *Host) {
	h := c.addHost()
	go c.supervise(h)
	for deadline := time.Now().Add(5 * time.Second); !h.ready() || !c.announced(h); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			fatal(fmt.Errorf("host %s is not ready", h.Name))
		}
	}
	old.mu.Lock()
	old.stopped = true
	_ = old.cmd.Process.Kill()
	old.mu.Unlock()
	for i, other := range c.hosts {
		if other == old {
			c.hosts = append(c.hosts[:i], c.hosts[i+1:]...)
			break
		}
	}
	c.rec.Line("host %s is gone for good, host %s has come", old.Name, h.Name)
	for _, addr := range []string{old.Front, old.Ready, address + ":" + strconv.Itoa(old.peer)} {
		go dark(addr)
	}
}

// dark accepts connections at an address and never answers.
func dark(addr string) {
	var l net.Listener
	for range 100 {
		var err error
		if l, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	for l != nil {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
	}
}

// announced reports whether a host has written its row.
func (c *Cell) announced(h *Host) bool {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	row := c.store.rows[rowKey{"cells", "hosts", h.Name}]
	return row != nil && !row.Deleted
}

// Cell is a small deployment.
type Cell struct {
	rec   *Record
	store *Store
	watch *Watch
	hosts []*Host
	root  string
	tmp   string
	// numHosts counts the hosts that have been added.
	numHosts              int
	zones                 []string
	storeAddr, adviceAddr string
}

func freePorts(n int) []int {
	var ports []int
	var open []net.Listener
	for range n {
		l, err := net.Listen("tcp", address+":0")
		if err != nil {
			fatal(err)
		}
		open = append(open, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	for _, l := range open {
		_ = l.Close()
	}
	return ports
}

// freePair returns the first of two neighbouring free ports.
func freePair() int {
	for range 200 {
		p := freePorts(1)[0]
		l, err := net.Listen("tcp", address+":"+strconv.Itoa(p+1))
		if err == nil {
			_ = l.Close()
			return p
		}
	}
	fatal(fmt.Errorf("no two neighbouring free ports"))
	return 0
}

func listenAndServe(h http.Handler) string {
	l, err := net.Listen("tcp", address+":0")
	if err != nil {
		fatal(err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

func newCell(root string, rec *Record, workers []*Worker, numHosts int, zones []string) *Cell {
	tmp, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fatal(err)
	}
	c := &Cell{rec: rec, store: newStore(rec), watch: newWatch(rec), root: root, tmp: tmp, zones: zones}
	c.watch.workers = workers
	for _, w := range workers {
		startWorker(w, c.store, rec, c.watch)
	}
	c.storeAddr, c.adviceAddr = listenAndServe(c.store), listenAndServe(http.HandlerFunc(c.watch.Advise))
	for range numHosts {
		c.addHost()
	}
	go c.watch.run()
	return c
}

// addHost adds a host with its settings file.
func (c *Cell) addHost() *Host {
	c.numHosts++
	n, zone := c.numHosts, c.zones[(c.numHosts-1)%len(c.zones)]
	ports := freePorts(3)
	internal := freePair()
	h := &Host{
		peer: internal, Name: fmt.Sprintf("front-%s-%d", zone, n), Front: fmt.Sprintf("%s:%d", address, ports[0]),
		Ready: fmt.Sprintf("%s:%d", address, ports[1]), settings: filepath.Join(c.tmp, fmt.Sprintf("settings-%d.yaml", n)),
	}
	text := fmt.Sprintf(`node_name: %q
role: "host"
machine_class: "front"
serves:
  - "front"
ip: %q
zone: %q
region: "region-a"
listen_addrs:
  front: %q
  ready: %q
  control: "%s:%d"
internal_ports:
  - %d
  - %d
seeds: []
bootstrap: true
loss_counts: false
limits: {cpu_share: 0.4, cpu_cores: 1, memory_mb: %d, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entrypoint: "vip"
heartbeat_ms: 1500
bounds: {stability_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 6, loss_slack_ms: 200, config_apply_ms: 2000, hold_max_ms: 6000, stop_grace_ms: 400, gang_timeout_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, checkpoint_s: 1, restore_ms: 600, lease_ms: 3000, pace_ms: 100, harm_ms: 4000}
control_mode: "request"
advice: %q
platform: {address: %q, form: "table", writes_per_s: %d, reads_per_s: %d, tx_ms: 6.0, partition_writes_s: 160, row_bytes: %d, across: false, retention_s: 20}
cloud_api: {address: %q, rate_per_s: 60.0, duties: [], duty_per_s: 60.0}
`, h.Name, address, zone, h.Front, h.Ready, address, ports[2], internal, internal+1, memoryMB, c.adviceAddr, c.storeAddr, writesPerS, readsPerS, rowBytes, c.storeAddr)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		fatal(err)
	}
	c.hosts = append(c.hosts, h)
	return h
}

// Configure writes a version of the configuration.
func (c *Cell) Configure(version int, routes []map[string]any, services ...string) {
	list := []map[string]any{}
	for _, s := range services {
		list = append(list, map[string]any{
			"name": s, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "enforce_capacity": false, "standby": false,
		})
	}
	raw, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	c.store.Put("op", "config", raw)
	c.rec.Line("configuration %d acknowledged: %d routes", version, len(routes))
}

func route(name, service string, priority int) map[string]any {
	return map[string]any{
		"name": "r-" + name, "host": hostName, "prefix": "/" + name + "/", "kind": "unsafe", "timeout_ms": 3000, "slo_ms": 1000,
		"priority": priority, "service": service, "attempts": 4, "stretch": 2.2,
	}
}

// Start starts all hosts with the command of the deploy file.
func (c *Cell) Start() {
	for _, h := range c.hosts {
		go c.supervise(h)
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, h := range c.hosts {
		for !h.ready() {
			if time.Now().After(deadline) {
				fatal(fmt.Errorf("host %s is not ready", h.Name))
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	c.rec.Line("all hosts are ready")
}

func (h *Host) ready() bool {
	client := http.Client{Timeout: 800 * time.Millisecond}
	res, err := client.Get("http://" + h.Ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// supervise runs a host's process as the platform does: it is killed when it exceeds its memory, and started again after a short delay.
func (c *Cell) supervise(h *Host) {
	for n := 1; ; n++ {
		h.mu.Lock()
		if h.stopped {
			h.mu.Unlock()
			return
		}
		cmd := exec.Command(filepath.Join(c.root, "target", "corianderdrift"), "serve", "--settings-from", "platform")
		cmd.Dir = c.root
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.tmp, "LANG=C.UTF-8", "CORIANDERDRIFT_BOOT=" + h.settings}
		log, err := os.OpenFile(filepath.Join(c.tmp, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err == nil {
			cmd.Stdout, cmd.Stderr = log, log
			err = cmd.Start()
		}
		if err != nil {
			h.mu.Unlock()
			fatal(err)
		}
		h.cmd = cmd
		h.mu.Unlock()
		c.rec.Line("host %s: process %d started", h.Name, n)
		over := false
		done := make(chan struct{})
		go func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(20 * time.Millisecond):
				}
				mb := residentMB(cmd.Process.Pid)
				h.mu.Lock()
				h.peakMB = max(h.peakMB, mb)
				h.mu.Unlock()
				if mb > memoryMB {
					over = true
					_ = cmd.Process.Kill()
					return
				}
			}
		}()
		err = cmd.Wait()
		close(done)
		_ = log.Close()
		h.mu.Lock()
		if h.stopped {
			h.mu.Unlock()
			return
		}
		h.Own++
		if over {
			h.OverMemory++
			c.rec.Line("host %s: process %d exceeded its %d MB and was killed", h.Name, n, memoryMB)
		} else {
			c.rec.Line("host %s: process %d ended by itself: %v", h.Name, n, err)
		}
		h.mu.Unlock()
		time.Sleep(restartDelay)
	}
}

func residentMB(pid int) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// Stop ends all processes that were started.
func (c *Cell) Stop() {
	for _, h := range c.hosts {
		h.mu.Lock()
		h.stopped = true
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Signal(syscall.SIGKILL)
		}
		h.mu.Unlock()
	}
	time.Sleep(200 * time.Millisecond)
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(c.tmp)
	} else {
		fmt.Println("logs:", c.tmp)
	}
}

// call sends a client's request to the host with the given number, and returns the status, 0 for none.
func (c *Cell) call(n int, method, path string, body []byte) (int, []byte, time.Duration) {
	h := c.hosts[n%len(c.hosts)]
	req, err := http.NewRequest(method, "http://"+h.Front+path, bytes.NewReader(body))
	if err != nil {
		fatal(err)
	}
	req.Host = hostName
	req.Header.Set("Corianderdrift-Deadline-Ms", "3000")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil, 0
	}
	defer res.Body.Close()
	raw, _ := io.ReadAll(res.Body)
	after, _ := strconv.Atoi(res.Header.Get("Retry-After"))
	return res.StatusCode, raw, time.Duration(after) * time.Second
}

func newID() string {
	raw := make([]byte, 8)
	_, _ = crand.Read(raw)
	return hex.EncodeToString(raw)
}

// Submit submits a job of one step, with up to four tries more at other hosts, and returns it; its time of acceptance is zero if it was not
// accepted.
func (c *Cell) Submit(queue string, spec Spec, phase map[string]any, more map[string]any) *Job {
	raw, _ := json.Marshal(spec)
	phase["cpu"], phase["mem_mb"] = toInt(phase["cpu"]), toInt(phase["mem_mb"])
	body := map[string]any{"spec": string(raw), "phases": []any{phase}}
	for k, v := range more {
		body[k] = v
	}
	text, _ := json.Marshal(body)
	j := &Job{
		ID: newID(), Queue: queue, Count: int(toInt(phase["count"])), CPU: toInt(phase["cpu"]),
		tasks: map[string]*Task{}, Ends: map[string]int{}, Lasting: phase["daemon"] == true,
	}
	j.Label, _ = phase["requires"].(string)
	if times, ok := more["times"]; ok {
		j.Count *= int(toInt(times))
		j.Due = time.UnixMilli(toInt(more["start_at_ms"]))
	}
	c.watch.mu.Lock()
	c.watch.jobs[j.ID] = j
	c.watch.mu.Unlock()
	c.rec.Line("client: POST /%s/%s %d bytes %.200s", queue, j.ID, len(text), text)
	for try := range 5 {
		status, _, after := c.call(int(j.ID[0])+try, http.MethodPost, "/"+queue+"/"+j.ID, text)
		c.rec.Line("client: POST /%s/%s answered %d", queue, j.ID, status)
		switch {
		case status >= 200 && status < 300:
			c.watch.mu.Lock()
			j.Accepted = time.Now()
			c.watch.mu.Unlock()
			return j
		case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
			time.Sleep(max(after, 300*time.Millisecond))
		case status == 0 || status == http.StatusBadGateway || status == http.StatusGatewayTimeout:
			time.Sleep(300 * time.Millisecond)
		default:
			return j
		}
	}
	return j
}

// Cancel cancels a job, with tries at several hosts, and notes whether that was acknowledged.
func (c *Cell) Cancel(j *Job) {
	for try := range 10 {
		status, _, _ := c.call(int(j.ID[0])+try, http.MethodDelete, "/"+j.Queue+"/"+j.ID, nil)
		c.rec.Line("client: DELETE /%s/%s answered %d", j.Queue, j.ID, status)
		if status >= 200 && status < 300 || status == http.StatusGone {
			c.rec.Say("cancelling job %s acknowledged with %d", j.ID, status)
			c.watch.mu.Lock()
			j.Due = time.Now().Add(time.Hour)
			c.watch.mu.Unlock()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// State asks for a job's state at up to n hosts until one answers 200 or 410.
func (c *Cell) State(j *Job, n int) (state string, status int) {
	for try := range n {
		var raw []byte
		status, raw, _ = c.call(int(j.ID[0])+try, http.MethodGet, "/"+j.Queue+"/"+j.ID, nil)
		if status == http.StatusOK || status == http.StatusGone || status == http.StatusNotFound {
			var body struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal(raw, &body)
			c.rec.Line("client: GET /%s/%s answered %d %s", j.Queue, j.ID, status, body.State)
			return body.State, status
		}
		c.rec.Line("client: GET /%s/%s answered %d", j.Queue, j.ID, status)
		time.Sleep(300 * time.Millisecond)
	}
	return "", status
}

func toInt(v any) int64 {
	switch n := v.(type) {
	case int:
		return int64(n)
	case int64:
		return n
	default:
		return 0
	}
}
