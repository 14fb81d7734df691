package test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/catlog"
	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/fault"
	"github.com/corianderdrift/corianderdrift/front"
	"github.com/corianderdrift/corianderdrift/store"
)

// waitLimit bounds every wait on a condition; it is generous, since no verdict may depend on speed.
const waitLimit = 60 * time.Second

var (
	buildOnce sync.Once
	binary    string
	buildErr  error
	clusters  atomic.Int32
)

// build makes the program once for all tests, with the race detector.
func build(c *qt.C) string {
	buildOnce.Do(func() {
		dir, err := os.MkdirTemp("", "corianderdrift")
		if err != nil {
			buildErr = err
			return
		}
		binary = filepath.Join(dir, "corianderdrift")
		out, err := exec.Command("go", "build", "-race", "-o", binary, "..").CombinedOutput()
		if err != nil {
			buildErr = fmt.Errorf("%w: %s", err, out)
		}
	})
	c.Assert(buildErr, qt.IsNil)
	return binary
}

func TestMain(m *testing.M) {
	code := m.Run()
	if binary != "" {
		_ = os.RemoveAll(filepath.Dir(binary))
	}
	os.Exit(code)
}

// proc is a process that the test started.
type proc struct {
	name string
	args []string
	cmd  *exec.Cmd
	log  *logBuffer
	done chan struct{}
}

type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// host is an entry host and where it is reached.
type host struct {
	*proc
	dataCenter string
	source     netip.Addr
	url        string
}

// standIn is a stand-in worker and where it is reached without a proxy.
type standIn struct {
	*proc
	dataCenter string
	url        string
	proxy      *fault.Proxy
	listing    store.Host
}

// spec is the shape of a cluster under test.
type spec struct {
	dataCenters []string
	hosts       int
	workers     int
	slots       int
	cpu         int
	memory      int
	accels      int
	hostFlags   []string
}

// cluster is a set of real processes with proxies between them.
type cluster struct {
	c        *qt.C
	spec     spec
	number   int
	net      *fault.Net
	platform *proc
	platURL  string
	hosts    []*host
	workers  []*standIn
	client   *http.Client
	proxies  map[string]*fault.Proxy
}

func (cl *cluster) ip(group, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(20 + cl.number%200), byte(group), byte(i + 1)})
}

// The groups of loopback addresses of a cluster.
const (
	groupHost = iota + 1
	groupHostProxy
	groupWorker
	groupWorkerProxy
	groupPlatform
	groupPlatformProxy
)

// start brings a cluster up and waits until it is ready and holds all workers.
func start(t *testing.T, s spec) *cluster {
	t.Helper()
	t.Parallel()
	c := qt.New(t)
	bin := build(c)
	cl := &cluster{
		c: c, spec: s.withDefaults(), net: fault.NewNet(), proxies: map[string]*fault.Proxy{},
		number: os.Getpid()*7 + int(clusters.Add(1)),
		client: &http.Client{Timeout: waitLimit, Transport: &http.Transport{MaxIdleConnsPerHost: 200}},
	}
	t.Cleanup(cl.stop)
	cl.startPlatform(bin)
	cl.startWorkers(bin)
	for i := range len(cl.spec.dataCenters) * cl.spec.hosts {
		cl.hosts = append(cl.hosts, cl.newHost(bin, i))
	}
	for _, h := range cl.hosts {
		cl.launch(h.proc)
	}
	cl.waitReady(cl.hosts...)
	cl.waitHeld()
	return cl
}

func (s spec) withDefaults() spec {
	fill := func(v *int, fallback int) {
		if *v == 0 {
			*v = fallback
		}
	}
	fill(&s.hosts, 2)
	fill(&s.workers, 3)
	fill(&s.slots, 8)
	fill(&s.cpu, 16000)
	fill(&s.memory, 32768)
	if len(s.dataCenters) == 0 {
		s.dataCenters = []string{"east"}
	}
	return s
}

func (cl *cluster) command(bin, name string, args ...string) *proc {
	return &proc{name: name, args: append([]string{bin}, args...), log: &logBuffer{}}
}

func (cl *cluster) launch(p *proc) {
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.done = make(chan struct{})
	cl.c.Assert(p.cmd.Start(), qt.IsNil)
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.cmd, p.done)
}

func (p *proc) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// kill ends a process at once and waits for it.
func (p *proc) kill() {
	p.signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
}

func (cl *cluster) proxy(name string, addr, target netip.AddrPort) *fault.Proxy {
	p, err := cl.net.Listen(name, addr, target)
	cl.c.Assert(err, qt.IsNil)
	cl.proxies[name] = p
	return p
}

func port(ip netip.Addr, n uint16) netip.AddrPort { return netip.AddrPortFrom(ip, n) }

const (
	portPlatform = 7000
	portCaller   = 7080
	portPeer     = 7081
	portWorker   = 7100
)

func (cl *cluster) startPlatform(bin string) {
	direct := port(cl.ip(groupPlatform, 0), portPlatform)
	cl.proxy("platform", port(cl.ip(groupPlatformProxy, 0), portPlatform), direct)
	cl.platform = cl.command(bin, "platform", "dev", "platform", "--listen", direct.String())
	cl.platURL = "http://" + direct.String()
	cl.launch(cl.platform)
	cl.waitHTTP(cl.platURL + "/v1/hosts")
}

func (cl *cluster) startWorkers(bin string) {
	for i := range len(cl.spec.dataCenters) * cl.spec.workers {
		dataCenter := cl.spec.dataCenters[i/cl.spec.workers]
		name := fmt.Sprintf("%s-w%d", dataCenter, i%cl.spec.workers+1)
		direct := port(cl.ip(groupWorker, i), portWorker)
		w := &standIn{dataCenter: dataCenter, url: "http://" + direct.String()}
		w.proc = cl.command(bin, name, "dev", "worker", "--listen", direct.String(), "--name", name,
			"--data-center", dataCenter, "--rack", fmt.Sprintf("%s-r%d", dataCenter, i%2),
			"--slots", fmt.Sprint(cl.spec.slots), "--cpu-milli", fmt.Sprint(cl.spec.cpu),
			"--memory-mib", fmt.Sprint(cl.spec.memory), "--accelerators", fmt.Sprint(cl.spec.accels))
		w.proxy = cl.proxy(name, port(cl.ip(groupWorkerProxy, i), portWorker), direct)
		w.listing = store.Host{
			Name: name, Kind: store.KindWorker, Address: w.proxy.Addr(), DataCenter: dataCenter, Rack: fmt.Sprintf("r%d", i%2),
		}
		cl.workers = append(cl.workers, w)
		cl.launch(w.proc)
		cl.listHost(w.listing)
	}
	for _, w := range cl.workers {
		cl.waitHTTP(w.url + "/v1/state")
	}
}

func (cl *cluster) newHost(bin string, i int) *host {
	dataCenter := cl.spec.dataCenters[i/cl.spec.hosts%len(cl.spec.dataCenters)]
	name := fmt.Sprintf("%s-%d", dataCenter, i+1)
	ip := cl.ip(groupHost, i)
	peer := port(ip, portPeer)
	proxy := cl.proxy(name, port(cl.ip(groupHostProxy, i), portPeer), peer)
	args := []string{
		"serve", "--name", name, "--data-center", dataCenter, "--listen", port(ip, portCaller).String(),
		"--peer-listen", peer.String(), "--advertise", proxy.Addr().String(), "--source", ip.String(),
		"--platform", port(cl.ip(groupPlatformProxy, 0), portPlatform).String(), "--lease-ttl", "2s",
		"--task-ttl", "6s", "--stop-delay", "500ms",
	}
	h := &host{dataCenter: dataCenter, source: ip, url: "http://" + port(ip, portCaller).String()}
	h.proc = cl.command(bin, name, append(args, cl.spec.hostFlags...)...)
	cl.listHost(store.Host{Name: name, Kind: store.KindEntry, Address: proxy.Addr(), DataCenter: dataCenter})
	return h
}

func (cl *cluster) listHost(listing store.Host) {
	cl.admin(http.MethodPut, cl.platURL+"/admin/hosts", listing)
}

// mode switches how the platform misbehaves.
func (cl *cluster) mode(mode fakes.Mode) { cl.admin(http.MethodPut, cl.platURL+"/admin/mode", mode) }

func (cl *cluster) admin(method, url string, value any) {
	cl.c.Helper()
	body, err := json.Marshal(value)
	cl.c.Assert(err, qt.IsNil)
	status, _, answer, err := cl.do(method, url, body, nil)
	cl.c.Assert(err, qt.IsNil)
	cl.c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", answer))
}

// do sends a request and reads the whole answer.
func (cl *cluster) do(method, url string, body []byte, header http.Header) (int, http.Header, []byte, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := cl.client.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, answer, err
}

// eventually waits for a condition.
func (cl *cluster) eventually(what string, ok func() bool) {
	cl.c.Helper()
	until := time.Now().Add(waitLimit)
	for !ok() {
		if time.Now().After(until) {
			cl.dump()
			cl.c.Fatalf("still not so after %s: %s", waitLimit, what)
		}
		pause(20 * time.Millisecond)
	}
}

func pause(d time.Duration) { <-time.After(d) }

func (cl *cluster) dump() {
	for _, h := range cl.hosts {
		cl.c.Logf("--- %s\n%s", h.name, tail(h.log.String()))
	}
}

func tail(text string) string {
	const most = 3000
	return text[max(0, len(text)-most):]
}

func (cl *cluster) waitHTTP(url string) {
	cl.c.Helper()
	cl.eventually(url+" answers", func() bool {
		status, _, _, err := cl.do(http.MethodGet, url, nil, nil)
		return err == nil && status == http.StatusOK
	})
}

func (cl *cluster) waitReady(hosts ...*host) {
	cl.c.Helper()
	for _, h := range hosts {
		cl.waitHTTP(h.url + "/readyz")
	}
}

// waitHeld waits until every worker has a holder and every host knows the others.
func (cl *cluster) waitHeld() {
	cl.c.Helper()
	cl.eventually("all workers are held and all hosts are known", func() bool {
		for _, h := range cl.hosts {
			var hosts []front.HostReport
			if cl.get(h.url+"/v1/hosts", &hosts) != nil || len(hosts) != len(cl.hosts) {
				return false
			}
			held := 0
			for _, report := range hosts {
				held += report.Workers
			}
			if held < len(cl.workers) {
				return false
			}
		}
		return true
	})
}

func (cl *cluster) get(url string, value any) error {
	status, _, body, err := cl.do(http.MethodGet, url, nil, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("status %d: %s", status, body)
	}
	return json.Unmarshal(body, value)
}

// put edits the catalogue through a host and waits until all given hosts have the version.
func (cl *cluster) put(documents string) uint64 {
	cl.c.Helper()
	docs, err := entry.ParseFile([]byte(documents))
	cl.c.Assert(err, qt.IsNil)
	var version uint64
	for _, doc := range docs {
		change, status, body := cl.edit(cl.hosts[0], doc.Key, doc.Raw, cl.docVersion(doc.Key))
		cl.c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
		version = change.Version
	}
	cl.waitVersion(version, cl.hosts...)
	return version
}

func (cl *cluster) docVersion(key string) uint64 {
	var doc front.DocumentReport
	if cl.get(cl.hosts[0].url+"/v1/catalogue/"+key, &doc) != nil {
		return 0
	}
	return doc.Version
}

func (cl *cluster) edit(h *host, key string, doc []byte, expect uint64) (catlog.Change, int, []byte) {
	header := http.Header{"If-Match": {fmt.Sprintf("%q", fmt.Sprint(expect))}, "Edit-Author": {"test"}}
	status, _, body, err := cl.do(http.MethodPut, h.url+"/v1/catalogue/"+key, doc, header)
	var change catlog.Change
	if err == nil && status == http.StatusOK {
		err = json.Unmarshal(body, &change)
	}
	if err != nil {
		return change, 0, []byte(err.Error())
	}
	return change, status, body
}

func (cl *cluster) version(h *host) uint64 {
	var report front.CatalogueReport
	if cl.get(h.url+"/v1/catalogue", &report) != nil {
		return 0
	}
	return report.Version
}

func (cl *cluster) waitVersion(version uint64, hosts ...*host) {
	cl.c.Helper()
	cl.eventually(fmt.Sprintf("version %d is in force", version), func() bool {
		for _, h := range hosts {
			if cl.version(h) < version {
				return false
			}
		}
		return true
	})
}

// events reads the logs of all workers.
func (cl *cluster) events() []fakes.Event {
	cl.c.Helper()
	var all []fakes.Event
	for _, w := range cl.workers {
		var l fakes.Log
		cl.c.Assert(cl.get(w.url+"/v1/log", &l), qt.IsNil, qt.Commentf("%s", w.name))
		all = append(all, l.Events...)
	}
	return all
}

// settled waits until nothing but services runs on any worker, and returns the logs.
func (cl *cluster) settled() []fakes.Event {
	cl.c.Helper()
	cl.eventually("nothing runs any more", func() bool {
		for _, w := range cl.workers {
			var l fakes.Log
			if cl.get(w.url+"/v1/log", &l) != nil || l.Running > 0 {
				return false
			}
		}
		return true
	})
	return cl.events()
}

// sources returns the addresses that the hosts of a data centre call from.
func (cl *cluster) sources(dataCenter string) []netip.Addr {
	var list []netip.Addr
	for _, h := range cl.hosts {
		if h.dataCenter == dataCenter {
			list = append(list, h.source)
		}
	}
	return list
}

// cutOff cuts a data centre off from the other ones and from the platform.
func (cl *cluster) cutOff(dataCenter string) {
	var inside, outside []string
	var others []netip.Addr
	for _, h := range cl.hosts {
		if h.dataCenter == dataCenter {
			inside = append(inside, h.name)
		} else {
			outside = append(outside, h.name)
			others = append(others, h.source)
		}
	}
	cl.net.Set("cut-out", fault.Rule{Sources: cl.sources(dataCenter), Names: append(outside, "platform"), Link: fault.Cut})
	if len(others) > 0 {
		cl.net.Set("cut-in", fault.Rule{Sources: others, Names: inside, Link: fault.Cut})
	}
}

func (cl *cluster) heal() {
	cl.net.Clear("cut-out")
	cl.net.Clear("cut-in")
}

func (cl *cluster) stop() {
	for _, h := range cl.hosts {
		if h.done != nil {
			h.kill()
			if strings.Contains(h.log.String(), "DATA RACE") || strings.Contains(h.log.String(), "panic:") {
				cl.c.Errorf("%s:\n%s", h.name, h.log.String())
			}
		}
	}
	for _, w := range cl.workers {
		w.kill()
	}
	if cl.platform != nil {
		cl.platform.kill()
	}
	cl.net.Close()
	cl.client.CloseIdleConnections()
}
