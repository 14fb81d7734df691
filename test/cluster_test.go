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

// waitTimeout bounds every wait for a condition; it is generous because no test result may depend on speed.
const waitTimeout = 60 * time.Second

var (
	buildOnce   sync.Once
	binary      string
	buildErr    error
	numClusters atomic.Int32
)

// buildBinary builds the program with the race detector, once for all tests.
func buildBinary(c *qt.C) string {
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

// proc is a process started by a test.
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

// host is an entry host; url is the address for callers.
type host struct {
	*proc
	dataCenter string
	source     netip.Addr
	url        string
}

// fakeWorker is a fake worker process; url is its address without the proxy.
type fakeWorker struct {
	*proc
	dataCenter string
	url        string
	proxy      *fault.Proxy
	listing    store.Host
}

// clusterSpec describes a cluster under test; hosts and workers are counts per data centre,
// slots and the resources below it are per worker.
type clusterSpec struct {
	dataCenters  []string
	hosts        int
	workers      int
	slots        int
	cpuMilli     int
	memoryMiB    int
	accelerators int
	hostFlags    []string
}

// cluster is a set of real processes with proxies between them. Its index selects its loopback network.
type cluster struct {
	c           *qt.C
	spec        clusterSpec
	index       int
	network     *fault.Network
	platform    *proc
	platformURL string
	hosts       []*host
	workers     []*fakeWorker
	client      *http.Client
	proxies     map[string]*fault.Proxy
}

func (cl *cluster) ip(group, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(20 + cl.index%200), byte(group), byte(i + 1)})
}

// Third octets of the loopback addresses of a cluster.
const (
	hostIPs = iota + 1
	hostProxyIPs
	workerIPs
	workerProxyIPs
	platformIPs
	platformProxyIPs
)

// startCluster starts a cluster and waits until its hosts are ready and hold all workers.
func startCluster(t *testing.T, s clusterSpec) *cluster {
	t.Helper()
	t.Parallel()
	c := qt.New(t)
	bin := buildBinary(c)
	cl := &cluster{
		c: c, spec: s.withDefaults(), network: fault.NewNetwork(), proxies: map[string]*fault.Proxy{},
		index:  os.Getpid()*7 + int(numClusters.Add(1)),
		client: &http.Client{Timeout: waitTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 200}},
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
	cl.waitAllHeld()
	return cl
}

func (s clusterSpec) withDefaults() clusterSpec {
	setDefault := func(v *int, fallback int) {
		if *v == 0 {
			*v = fallback
		}
	}
	setDefault(&s.hosts, 2)
	setDefault(&s.workers, 3)
	setDefault(&s.slots, 8)
	setDefault(&s.cpuMilli, 16000)
	setDefault(&s.memoryMiB, 32768)
	if len(s.dataCenters) == 0 {
		s.dataCenters = []string{"east"}
	}
	return s
}

func (cl *cluster) newProc(bin, name string, args ...string) *proc {
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

// kill sends SIGKILL, also to a stopped process, and waits for the process to end.
func (p *proc) kill() {
	p.signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
}

func (cl *cluster) addProxy(name string, addr, target netip.AddrPort) *fault.Proxy {
	p, err := cl.network.Listen(name, addr, target)
	cl.c.Assert(err, qt.IsNil)
	cl.proxies[name] = p
	return p
}

func addrPort(ip netip.Addr, port uint16) netip.AddrPort { return netip.AddrPortFrom(ip, port) }

const (
	platformPort = 7000
	callerPort   = 7080
	peerPort     = 7081
	workerPort   = 7100
)

func (cl *cluster) startPlatform(bin string) {
	directAddr := addrPort(cl.ip(platformIPs, 0), platformPort)
	cl.addProxy("platform", addrPort(cl.ip(platformProxyIPs, 0), platformPort), directAddr)
	cl.platform = cl.newProc(bin, "platform", "dev", "platform", "--listen", directAddr.String())
	cl.platformURL = "http://" + directAddr.String()
	cl.launch(cl.platform)
	cl.waitHTTPOK(cl.platformURL + "/v1/hosts")
}

func (cl *cluster) startWorkers(bin string) {
	for i := range len(cl.spec.dataCenters) * cl.spec.workers {
		dataCenter := cl.spec.dataCenters[i/cl.spec.workers]
		name := fmt.Sprintf("%s-w%d", dataCenter, i%cl.spec.workers+1)
		directAddr := addrPort(cl.ip(workerIPs, i), workerPort)
		w := &fakeWorker{dataCenter: dataCenter, url: "http://" + directAddr.String()}
		w.proc = cl.newProc(bin, name, "dev", "worker", "--listen", directAddr.String(), "--name", name,
			"--data-center", dataCenter, "--rack", fmt.Sprintf("%s-r%d", dataCenter, i%2),
			"--slots", fmt.Sprint(cl.spec.slots), "--cpu-milli", fmt.Sprint(cl.spec.cpuMilli),
			"--memory-mib", fmt.Sprint(cl.spec.memoryMiB), "--accelerators", fmt.Sprint(cl.spec.accelerators))
		w.proxy = cl.addProxy(name, addrPort(cl.ip(workerProxyIPs, i), workerPort), directAddr)
		w.listing = store.Host{
			Name: name, Kind: store.KindWorker, Address: w.proxy.Addr(), DataCenter: dataCenter, Rack: fmt.Sprintf("r%d", i%2),
		}
		cl.workers = append(cl.workers, w)
		cl.launch(w.proc)
		cl.registerHost(w.listing)
	}
	for _, w := range cl.workers {
		cl.waitHTTPOK(w.url + "/v1/state")
	}
}

func (cl *cluster) newHost(bin string, i int) *host {
	dataCenter := cl.spec.dataCenters[i/cl.spec.hosts%len(cl.spec.dataCenters)]
	name := fmt.Sprintf("%s-%d", dataCenter, i+1)
	ip := cl.ip(hostIPs, i)
	peerAddr := addrPort(ip, peerPort)
	proxy := cl.addProxy(name, addrPort(cl.ip(hostProxyIPs, i), peerPort), peerAddr)
	args := []string{
		"serve", "--name", name, "--data-center", dataCenter, "--listen", addrPort(ip, callerPort).String(),
		"--peer-listen", peerAddr.String(), "--advertise", proxy.Addr().String(), "--source", ip.String(),
		"--platform", addrPort(cl.ip(platformProxyIPs, 0), platformPort).String(), "--lease-ttl", "2s",
		"--task-ttl", "6s", "--stop-delay", "500ms",
	}
	h := &host{dataCenter: dataCenter, source: ip, url: "http://" + addrPort(ip, callerPort).String()}
	h.proc = cl.newProc(bin, name, append(args, cl.spec.hostFlags...)...)
	cl.registerHost(store.Host{Name: name, Kind: store.KindEntry, Address: proxy.Addr(), DataCenter: dataCenter})
	return h
}

func (cl *cluster) registerHost(listing store.Host) {
	cl.sendAdmin(http.MethodPut, cl.platformURL+"/admin/hosts", listing)
}

// setMode sets the faults that the fake platform simulates.
func (cl *cluster) setMode(mode fakes.Mode) {
	cl.sendAdmin(http.MethodPut, cl.platformURL+"/admin/mode", mode)
}

func (cl *cluster) sendAdmin(method, url string, value any) {
	cl.c.Helper()
	body, err := json.Marshal(value)
	cl.c.Assert(err, qt.IsNil)
	status, _, respBody, err := cl.do(method, url, body, nil)
	cl.c.Assert(err, qt.IsNil)
	cl.c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", respBody))
}

// do sends a request and reads the whole response.
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
	respBody, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, respBody, err
}

// waitFor polls ok until it returns true; it fails the test after waitTimeout.
func (cl *cluster) waitFor(condition string, ok func() bool) {
	cl.c.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			cl.logHostOutput()
			cl.c.Fatalf("timed out after %s waiting for: %s", waitTimeout, condition)
		}
		sleep(20 * time.Millisecond)
	}
}

func sleep(d time.Duration) { <-time.After(d) }

func (cl *cluster) logHostOutput() {
	for _, h := range cl.hosts {
		cl.c.Logf("--- %s\n%s", h.name, tail(h.log.String()))
	}
}

func tail(text string) string {
	const maxLen = 3000
	return text[max(0, len(text)-maxLen):]
}

func (cl *cluster) waitHTTPOK(url string) {
	cl.c.Helper()
	cl.waitFor(url+" returns status 200", func() bool {
		status, _, _, err := cl.do(http.MethodGet, url, nil, nil)
		return err == nil && status == http.StatusOK
	})
}

func (cl *cluster) waitReady(hosts ...*host) {
	cl.c.Helper()
	for _, h := range hosts {
		cl.waitHTTPOK(h.url + "/readyz")
	}
}

// waitAllHeld waits until every host reports all hosts and a holder for every worker.
func (cl *cluster) waitAllHeld() {
	cl.c.Helper()
	cl.waitFor("every host reports all hosts, and holders for all workers", func() bool {
		for _, h := range cl.hosts {
			var hosts []front.HostReport
			if cl.getJSON(h.url+"/v1/hosts", &hosts) != nil || len(hosts) != len(cl.hosts) {
				return false
			}
			numHeld := 0
			for _, report := range hosts {
				numHeld += report.Workers
			}
			if numHeld < len(cl.workers) {
				return false
			}
		}
		return true
	})
}

func (cl *cluster) getJSON(url string, value any) error {
	status, _, body, err := cl.do(http.MethodGet, url, nil, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("status %d: %s", status, body)
	}
	return json.Unmarshal(body, value)
}

// putDocuments writes catalogue documents through the first host and waits until all hosts use the new version.
func (cl *cluster) putDocuments(documents string) uint64 {
	cl.c.Helper()
	docs, err := entry.ParseFile([]byte(documents))
	cl.c.Assert(err, qt.IsNil)
	var version uint64
	for _, doc := range docs {
		change, status, body := cl.editDocument(cl.hosts[0], doc.Key, doc.Raw, cl.documentVersion(doc.Key))
		cl.c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
		version = change.Version
	}
	cl.waitCatalogueVersion(version, cl.hosts...)
	return version
}

func (cl *cluster) documentVersion(key string) uint64 {
	var doc front.DocumentReport
	if cl.getJSON(cl.hosts[0].url+"/v1/catalogue/"+key, &doc) != nil {
		return 0
	}
	return doc.Version
}

func (cl *cluster) editDocument(h *host, key string, doc []byte, expect uint64) (catlog.Change, int, []byte) {
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

func (cl *cluster) catalogueVersion(h *host) uint64 {
	var report front.CatalogueReport
	if cl.getJSON(h.url+"/v1/catalogue", &report) != nil {
		return 0
	}
	return report.Version
}

func (cl *cluster) waitCatalogueVersion(version uint64, hosts ...*host) {
	cl.c.Helper()
	cl.waitFor(fmt.Sprintf("catalogue version %d is in use", version), func() bool {
		for _, h := range hosts {
			if cl.catalogueVersion(h) < version {
				return false
			}
		}
		return true
	})
}

// workerEvents returns the event logs of all workers.
func (cl *cluster) workerEvents() []fakes.Event {
	cl.c.Helper()
	var all []fakes.Event
	for _, w := range cl.workers {
		var l fakes.Log
		cl.c.Assert(cl.getJSON(w.url+"/v1/log", &l), qt.IsNil, qt.Commentf("%s", w.name))
		all = append(all, l.Events...)
	}
	return all
}

// waitIdle waits until no worker runs a task, and returns the event logs of all workers.
func (cl *cluster) waitIdle() []fakes.Event {
	cl.c.Helper()
	cl.waitFor("no worker runs a task", func() bool {
		for _, w := range cl.workers {
			var l fakes.Log
			if cl.getJSON(w.url+"/v1/log", &l) != nil || l.Running > 0 {
				return false
			}
		}
		return true
	})
	return cl.workerEvents()
}

// sourceAddrs returns the source addresses of the hosts of a data centre.
func (cl *cluster) sourceAddrs(dataCenter string) []netip.Addr {
	var list []netip.Addr
	for _, h := range cl.hosts {
		if h.dataCenter == dataCenter {
			list = append(list, h.source)
		}
	}
	return list
}

// partition blocks traffic between the hosts of a data centre and all other hosts, and from that data centre to the platform.
func (cl *cluster) partition(dataCenter string) {
	var insideNames, outsideNames []string
	var outsideAddrs []netip.Addr
	for _, h := range cl.hosts {
		if h.dataCenter == dataCenter {
			insideNames = append(insideNames, h.name)
		} else {
			outsideNames = append(outsideNames, h.name)
			outsideAddrs = append(outsideAddrs, h.source)
		}
	}
	cl.network.Set("cut-out", fault.Rule{Sources: cl.sourceAddrs(dataCenter), ProxyNames: append(outsideNames, "platform"), Link: fault.Partition})
	if len(outsideAddrs) > 0 {
		cl.network.Set("cut-in", fault.Rule{Sources: outsideAddrs, ProxyNames: insideNames, Link: fault.Partition})
	}
}

func (cl *cluster) healPartition() {
	cl.network.Clear("cut-out")
	cl.network.Clear("cut-in")
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
	cl.network.Close()
	cl.client.CloseIdleConnections()
}
