package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// cases are the cases by their names; each reports whether it could run.
var cases = map[string]func(t *trial) bool{
	"count":   playCount,
	"lasting": playLasting,
	"label":   playLabel,
	"ended":   playEnded,
	"keys":    playKeys,
}

// Sizes of a small deployment.
const (
	numHosts   = 7
	numWorkers = 35
)

// Bounds that the cases judge by.
const (
	// ownEnds is how often processes of a machine end by themselves until the machine counts, and atLeast how many such machines break the rule:
	// a tenth of those in use, two at least.
	ownEnds, atLeast = 3, 2
	// finishTime is finish_s, and idleTime for how long a job may have nothing running then.
	finishTime, idleTime = 14 * time.Second, 3 * time.Second
)

// applyTime is longer than config_apply_ms and revoke_ms of the deployment with tenants.
const applyTime = 8 * time.Second

// ordinary is the job of an ordinary client: some tasks of half a second.
const ordinary = `{"spec":"work 500","phases":[{"count":4,"cpu":1000,"mem_mb":256,"estimate_ms":500}]}`

// traffic is what ordinary clients hand in.
type traffic struct {
	t        *trial
	mu       sync.Mutex
	accepted []string
	sent     int
}

// send hands in a job a second, each with five attempts at different hosts, for some time.
func (c *traffic) send(first int, lasts time.Duration) {
	var wg sync.WaitGroup
	for i := range int(lasts / time.Second) {
		wg.Go(func() {
			id := fmt.Sprintf("aaaaaaaa%08x", first+i)
			for n := range 5 {
				h := c.t.hosts[(first+i+n)%len(c.t.hosts)]
				status, _ := h.send(http.MethodPost, queuePath+id, ordinary, 3*time.Second)
				c.t.note("ordinary client: POST %s to %s: %d", id, h.name, status)
				if status == http.StatusOK {
					c.mu.Lock()
					c.accepted = append(c.accepted, id)
					c.mu.Unlock()
					return
				}
				time.Sleep(time.Second)
			}
		})
		c.sent++
		time.Sleep(time.Second)
	}
	wg.Wait()
}

// judge asks for the accepted ordinary jobs, finishTime after the end of the traffic, and counts the ends of processes.
func (c *traffic) judge() {
	t := c.t
	time.Sleep(finishTime)
	total := int64(len(t.workers)) * t.workers[0].capacity.CPU
	used := t.usedCPU()
	t.note("the workers use %d of %d thousandths of a core", used, total)
	done, lost := 0, 0
	for _, id := range c.accepted {
		state := t.state(id)
		t.note("ordinary client: GET %s: %s", id, state)
		switch {
		case state == "completed":
			done++
		case state == "410" || state == "no answer" || (!t.hasRuns(id, idleTime) && used < total/2):
			lost++
		}
	}
	t.note("ordinary clients: %d jobs sent, %d accepted, %d completed, %d lost", c.sent, len(c.accepted), done, lost)
	machines := 0
	for _, h := range t.hosts {
		t.note("%s: processes ended %d times by themselves, at most %d MB", h.name, h.ends, h.peak)
		if h.ends >= ownEnds && !h.troubled {
			machines++
		}
	}
	if machines >= atLeast {
		t.breaks("FAULT: on %d of %d machines processes have ended by themselves %d times or more", machines, len(t.hosts), ownEnds)
	}
	if lost > 0 {
		t.breaks("LOST: %d of %d accepted jobs of ordinary clients have nothing running %v after the traffic, or aren't known", lost, len(c.accepted), finishTime)
	}
}

// playCount: a client hands in one job, whose second step has a count near the largest integer; without the trouble, a count of 3.
func playCount(t *trial) bool {
	if !t.setUp(numHosts, numWorkers) {
		return false
	}
	c := &traffic{t: t}
	c.send(1, 3*time.Second)
	t.cpuOf["bbbbbbbb"] = 1000
	count := int64(3)
	if t.trouble {
		count = 1<<63 - 1
	}
	t.submit("bbbbbbbb00000001", fmt.Sprintf(`{"spec":"work 500","phases":[{"count":1,"cpu":1000,"mem_mb":256},{"count":%d,"cpu":1000,"mem_mb":256}]}`, count), 5)
	c.send(100, 12*time.Second)
	c.judge()
	return true
}

// playLasting: a client hands in eight jobs of 20,000 small tasks that last; without the trouble, of 20.
func playLasting(t *trial) bool {
	if !t.setUp(numHosts, numWorkers) {
		return false
	}
	t.quiet, t.cpuOf["bbbbbbbb"] = true, 1
	c := &traffic{t: t}
	c.send(1, 3*time.Second)
	count := 20
	if t.trouble {
		count = 20000
	}
	for i := range 8 {
		t.submit(fmt.Sprintf("bbbbbbbb%08x", i), fmt.Sprintf(`{"spec":"last","phases":[{"count":%d,"cpu":1,"mem_mb":1,"daemon":true}]}`, count), 5)
	}
	c.send(100, 40*time.Second)
	c.judge()
	return true
}

// playLabel: clients hand in jobs that require a label of 60,000 bytes, which no worker has; without the trouble, one of 6 bytes.
func playLabel(t *trial) bool {
	if !t.setUp(numHosts, numWorkers) {
		return false
	}
	c := &traffic{t: t}
	c.send(1, 3*time.Second)
	length := 6
	if t.trouble {
		length = 60000
	}
	body := `{"spec":"work 500","phases":[{"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":500,"requires":"` + strings.Repeat("x", length) + `"}]}`
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	const numClients, jobsEach = 8, 750
	for n := range numClients {
		wg.Go(func() {
			for i := range jobsEach {
				status, _ := t.hosts[(n+i)%len(t.hosts)].send(http.MethodPost, fmt.Sprintf("%sbbbbbbbb%08x", queuePath, n*jobsEach+i), body, 3*time.Second)
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	t.note("clients with long labels: answers by status (0 is none): %v", statuses)
	c.send(100, 30*time.Second)
	c.judge()
	return true
}

// playEnded: clients hand in jobs of one short task, whose image has a name of 60,000 bytes. When all have ended, the process that runs the group
// is killed once; without the trouble it isn't.
func playEnded(t *trial) bool {
	if !t.setUp(numHosts, numWorkers) {
		return false
	}
	t.quiet, t.cpuOf["bbbbbbbb"] = true, 100
	c := &traffic{t: t}
	c.send(1, 3*time.Second)
	body := `{"spec":"work 200","phases":[{"count":1,"cpu":100,"mem_mb":16,"estimate_ms":200,"image":"` + strings.Repeat("x", 60000) + `"}]}`
	var wg sync.WaitGroup
	var mu sync.Mutex
	var accepted []string
	// A hundred jobs a second.
	const numClients, jobsEach, interval = 8, 625, 80 * time.Millisecond
	began := time.Now()
	for n := range numClients {
		wg.Go(func() {
			for i := range jobsEach {
				time.Sleep(time.Until(began.Add(time.Duration(i) * interval)))
				id := fmt.Sprintf("bbbbbbbb%08x", n*jobsEach+i)
				if status, _ := t.hosts[(n+i)%len(t.hosts)].send(http.MethodPost, queuePath+id, body, 3*time.Second); status == http.StatusOK {
					mu.Lock()
					accepted = append(accepted, id)
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	t.note("clients with long names: %d jobs of %d accepted", len(accepted), numClients*jobsEach)
	ended := t.await(20*time.Second, func() bool { return t.usedCPU() == 0 })
	time.Sleep(3 * time.Second)
	running := 0
	for i := 0; i < len(accepted); i += 100 {
		if t.state(accepted[i]) != "completed" {
			running++
		}
	}
	t.note("all runs have ended: %v; of each hundredth job, %d are not completed", ended, running)
	if !ended || running > 0 {
		return false
	}
	if t.trouble {
		name := t.store.holder()
		for _, h := range t.hosts {
			if h.name == name {
				t.note("killing %s, which runs the group, once", name)
				h.kill()
			}
		}
	}
	c.send(100, 26*time.Second)
	c.judge()
	return true
}

// tenant is an entry of a configuration.
func tenant(name string, keys ...string) any {
	return map[string]any{"name": name, "api_keys": keys, "priority": 1, "weight": 5.0, "cap": map[string]any{"cpu": 0, "mem_mb": 0, "gpus": 0}}
}

// playKeys: the last tenant leaves, so that the next configuration has none. Without the trouble, the tenant stays and has no keys any more.
func playKeys(t *trial) bool {
	const dropped, unknown = "key-of-yard", "key-of-nobody"
	t.tenants = []any{tenant("yard", dropped)}
	if !t.setUp(numHosts, numWorkers) {
		return false
	}
	ask := func(h *host, tenantKey, method, id, body string) int {
		status, text := h.sendAs(tenantKey, method, queuePath+id, body, 3*time.Second)
		t.note("client with key %q: %s %s at %s: %d %s", tenantKey, method, id, h.name, status, text)
		return status
	}
	const job, other = "aaaaaaaa00000001", "aaaaaaaa00000002"
	const long = `{"spec":"work 40000","phases":[{"count":4,"cpu":1000,"mem_mb":256,"estimate_ms":40000}]}`
	if ask(t.hosts[0], dropped, http.MethodPost, job, long) != http.StatusOK {
		return false
	}
	if ask(t.hosts[0], unknown, http.MethodGet, job, "") != http.StatusUnauthorized || ask(t.hosts[0], "", http.MethodGet, job, "") != http.StatusUnauthorized {
		return false
	}
	time.Sleep(2 * time.Second)
	t.tenants = []any{tenant("yard")}
	if t.trouble {
		t.tenants = []any{}
	}
	t.configure(8)
	time.Sleep(applyTime)
	for _, h := range t.hosts {
		for _, k := range []string{dropped, unknown, ""} {
			rule := "ROUTE"
			if k == dropped {
				rule = "CONFIG"
			}
			if status := ask(h, k, http.MethodGet, job, ""); status == http.StatusOK {
				t.breaks("%s: %s shows the state of the tenant's job to a client with the key %q", rule, h.name, k)
			}
		}
	}
	if ask(t.hosts[1], unknown, http.MethodPost, other, ordinary) == http.StatusOK {
		t.breaks("ROUTE: a job runs whose key no configuration ever held")
	}
	if ask(t.hosts[2], dropped, http.MethodPost, "aaaaaaaa00000003", ordinary) == http.StatusOK {
		t.breaks("CONFIG: a job runs with a key that was dropped %v before", applyTime)
	}
	if ask(t.hosts[3], "", http.MethodDelete, job, "") == http.StatusOK {
		t.breaks("ROUTE: a client without a key cancels the tenant's job")
	}
	time.Sleep(2 * time.Second)
	return true
}
