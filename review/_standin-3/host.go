package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is an entry host: a process of the project, which is started again when it ends.
type host struct {
	name, front, ready string
	settings           string
	t                  *trial

	mu  sync.Mutex
	cmd *exec.Cmd
	// ends counts the ends of processes, without those that kill has ended.
	ends   int
	killed bool
	// troubled says that kill was used.
	troubled bool
	// peak is the most anonymous memory that a process of it has had, in MB.
	peak int64
	// paused keeps the process from being started again.
	paused bool
	quit   bool
}

const (
	memoryMB     = 284
	restartDelay = 300 * time.Millisecond
)

// The ports of all machines.
const (
	frontPort, readyPort        = 18149, 18141
	firstInternal, lastInternal = 17380, 17395
	workerPort, platformPort    = 18080, 18142
)

// chooseNet chooses a part of the loopback range in which nothing listens at the ports, and returns its first three bytes. Each trial has
// addresses of its own, so that nothing answers in place of a machine that is down.
func chooseNet() string {
	for {
		prefix := fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), rand.IntN(256))
		l, err := net.Listen("tcp", prefix+"250:"+strconv.Itoa(platformPort))
		if err == nil {
			_ = l.Close()
			return prefix
		}
	}
}

// at returns an address of the trial.
func (t *trial) at(machine, port int) string {
	return t.net + strconv.Itoa(machine) + ":" + strconv.Itoa(port)
}

// listen listens at an address of the trial.
func (t *trial) listen(machine, port int) net.Listener {
	l, err := net.Listen("tcp", t.at(machine, port))
	if err != nil {
		panic(err)
	}
	return l
}

func (t *trial) addHost(name string) *host {
	machine := len(t.hosts) + 1
	h := &host{name: name, t: t, front: t.at(machine, frontPort), ready: t.at(machine, readyPort)}
	h.settings = filepath.Join(t.dir, name+".yaml")
	text := fmt.Sprintf(`node_name: %q
role: "host"
machine_class: "front"
serves: ["front"]
ip: "%s%d"
zone: "east"
region: "here"
zones: {east: "here"}
listen_addrs: {front: %q, ready: %q}
internal_ports: [%d, %d]
bootstrap: true
limits: {cpu_share: 0.4, cpu_cores: 1, memory_mb: %d, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
heartbeat_ms: 1500
bounds: {seed_staleness_s: 3, addr_reuse_s: 2, stability_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 6, hold_max_ms: 6000,
  config_apply_ms: 2000, stop_grace_ms: 400, gang_timeout_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120,
  remote_factor: 2, checkpoint_s: 1, restore_ms: 600, notice_ms: 4500, require_fence: true, lease_ms: 3000, pace_ms: 100, harm_ms: 4000}
control_mode: "request"
advice: %q
platform: {address: %q, form: "table", writes_per_s: 600, reads_per_s: 2000, tx_ms: 6.0, partition_writes_s: 200, row_bytes: %d, across: false,
  retention_s: 20, blob_bytes: 8388608, blob_ms: 25.0, blob_mb_s: 80.0}
cloud_api: {address: %q, rate_per_s: 60.0, duties: [], duty_per_s: 60.0}
`, name, t.net, machine, h.front, h.ready, firstInternal, lastInternal, memoryMB, t.advice, t.storeAddress, rowBytes, t.advice)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	t.hosts = append(t.hosts, h)
	go h.run()
	return h
}

// run starts the process again whenever it ends.
func (h *host) run() {
	// The process is killed when the thread that has started it ends.
	runtime.LockOSThread()
	for {
		h.mu.Lock()
		if h.quit {
			h.mu.Unlock()
			return
		}
		if h.paused {
			h.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			continue
		}
		cmd := exec.Command(h.t.program, "serve", "--settings-from", "platform")
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.t.dir, "CORIANDERDRIFT_BOOT=" + h.settings}
		logFile, err := os.OpenFile(filepath.Join(h.t.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			panic(err)
		}
		cmd.Stdout, cmd.Stderr = logFile, logFile
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			panic(err)
		}
		h.cmd = cmd
		h.mu.Unlock()
		h.t.note("host %s started", h.name)
		done := make(chan struct{})
		go h.watchMemory(cmd.Process.Pid, done)
		err = cmd.Wait()
		close(done)
		_ = logFile.Close()
		h.mu.Lock()
		h.cmd = nil
		quit := h.quit
		if !quit && !h.killed {
			h.ends++
		}
		h.killed = false
		h.mu.Unlock()
		if quit {
			return
		}
		h.t.note("host %s ended: %v%s", h.name, err, h.lastWords())
		time.Sleep(restartDelay)
	}
}

// lastWords returns the first line of a panic, or of what the runtime says at a fatal end.
func (h *host) lastWords() string {
	raw, err := os.ReadFile(filepath.Join(h.t.dir, h.name+".log"))
	if err != nil {
		return ""
	}
	words := ""
	for _, line := range bytes.Split(raw, []byte("\n")) {
		if bytes.HasPrefix(line, []byte("panic:")) || bytes.HasPrefix(line, []byte("fatal error:")) {
			words = ", " + string(line)
		}
	}
	return words
}

// watchMemory ends a process that takes more than its machine has, as the platform does.
func (h *host) watchMemory(pid int, done chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(50 * time.Millisecond):
		}
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(raw), "\n") {
			if f := strings.Fields(line); len(f) > 1 && f[0] == "RssAnon:" {
				kb, _ := strconv.ParseInt(f[1], 10, 64)
				h.mu.Lock()
				h.peak = max(h.peak, kb/1024)
				h.mu.Unlock()
				if kb/1024 > memoryMB {
					h.t.note("host %s takes %d MB, its machine has %d MB: killed", h.name, kb/1024, memoryMB)
					_ = syscall.Kill(pid, syscall.SIGKILL)
					return
				}
			}
		}
	}
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s)
	}
}

// kill ends the process, which is started again, as a disruption.
func (h *host) kill() {
	h.mu.Lock()
	h.killed, h.troubled = h.cmd != nil, true
	h.mu.Unlock()
	h.signal(syscall.SIGKILL)
}

func (h *host) end() {
	h.mu.Lock()
	h.quit = true
	h.mu.Unlock()
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
}

// send sends one request without a key to a host; the status is 0 without an answer.
func (h *host) send(method, path, body string, timeout time.Duration) (int, string) {
	return h.sendAs("", method, path, body, timeout)
}

// sendAs sends one request with the key of a tenant, if it isn't empty.
func (h *host) sendAs(tenantKey, method, path, body string, timeout time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = clientHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Corianderdrift-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	if tenantKey != "" {
		req.Header.Set("Authorization", "Bearer "+tenantKey)
	}
	tr := &http.Transport{DisableKeepAlives: true}
	defer tr.CloseIdleConnections()
	res, err := (&http.Client{Transport: tr}).Do(req)
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	var buf bytes.Buffer
	_, _ = buf.ReadFrom(res.Body)
	return res.StatusCode, strings.TrimSpace(buf.String())
}

func (h *host) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	res, err := c.Get("http://" + h.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
