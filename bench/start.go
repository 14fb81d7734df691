package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/corianderdrift/corianderdrift/conf"
	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/loads"
	"github.com/corianderdrift/corianderdrift/local"
	"github.com/corianderdrift/corianderdrift/unit"
)

// startCatalogue has bulk work that always waits, and urgent work, gangs and quick requests beside it.
const startCatalogue = `
kind: owner
name: imagery
---
kind: owner
name: dispatch
---
kind: owner
name: survey
---
kind: owner
name: desk
---
kind: work
name: bulk
owner: imagery
class: batch
repeatable: true
checkpointable: true
size: {cpu-milli: 2000, memory-mib: 1024}
run-time: 10s
---
kind: work
name: rescue
owner: dispatch
class: batch
repeatable: true
urgent: true
size: {cpu-milli: 2000, memory-mib: 1024}
run-time: 1s
---
kind: work
name: gather
owner: survey
class: gang
repeatable: true
size: {cpu-milli: 2000, memory-mib: 1024}
run-time: 1s
tasks: 6
---
kind: work
name: look
owner: desk
class: request
repeatable: true
size: {cpu-milli: 500, memory-mib: 128}
run-time: 10ms
timeout: 5s
`

const (
	startDuration = 40 * time.Second
	startSettle   = 20 * time.Second
	urgentGoal    = 6100 * time.Millisecond
	// bulkTasks keep the cell's 32 slots busy for the whole time; each job has 40 of them.
	bulkJobs, bulkTasks = 8, 40
	looksPerSecond      = 200
)

var startShape = local.Shape{
	DataCenters: []string{"local"}, Hosts: 2, Workers: 4,
	Capacity: unit.Size{CPUMilli: 16000, MemoryMiB: 32 << 10, Slots: 8, Connections: 64},
}

// submission is a job that was sent, with the time at which it was sent.
type submission struct {
	id    string
	work  string
	tasks int
	at    time.Time
}

// starts holds how long jobs waited until all their tasks had started.
type starts struct {
	waits   map[string]*hdrhistogram.Histogram
	never   map[string]int
	looking loads.Group
}

// Starts measures the time from submission to start by class, while bulk work waits all the time.
func Starts(seed uint64) ([]Row, error) {
	full, err := startsUnder(conf.PolicyFull, seed)
	if err != nil {
		return nil, err
	}
	plain, err := startsUnder(conf.PolicyPlain, seed)
	if err != nil {
		return nil, err
	}
	const name = "bulk work waits all the time"
	text := func(s starts, work string) string {
		h := s.waits[work]
		if h == nil {
			return fmt.Sprintf("none of %d started", s.never[work])
		}
		ms := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
		return fmt.Sprintf("p50 %s, p99 %s, most %s, %d never", ms(50).Round(time.Millisecond), ms(99).Round(time.Millisecond),
			(time.Duration(h.Max()) * time.Microsecond).Round(time.Millisecond), s.never[work])
	}
	met := func(work string, most time.Duration) bool {
		h := full.waits[work]
		return h != nil && full.never[work] == 0 && (most == 0 || time.Duration(h.Max())*time.Microsecond < most)
	}
	looks := func(s starts) string {
		return fmt.Sprintf("p50 %.1f ms, p99 %.1f ms", s.looking.WaitP50, s.looking.WaitP99)
	}
	return []Row{
		{"start: urgent batch", name, text(full, "rescue"), text(plain, "rescue"), "most < 6.1s", met("rescue", urgentGoal)},
		{"start: gangs of 6", name, text(full, "gather"), text(plain, "gather"), "all start", met("gather", 0)},
		{"start: bulk tasks", name, text(full, "bulk"), text(plain, "bulk"), "-", full.waits["bulk"] != nil},
		{"start: requests' wait", name, looks(full), looks(plain), "-", full.looking.InTime > 0},
	}, nil
}

func startsUnder(policy conf.Policy, seed uint64) (starts, error) {
	var s starts
	shape := startShape
	shape.Policy = policy
	err := withCell(shape, startCatalogue, func(cell *local.Cell, urls []string) error {
		sent, group, err := sendStarts(urls, seed)
		if err != nil {
			return err
		}
		var events []fakes.Event
		for _, w := range cell.Workers {
			events = append(events, w.Events()...)
		}
		s = countStarts(sent, events)
		s.looking = group
		return cancelAll(urls, sent)
	})
	return s, err
}

// sendStarts submits everything at its time and returns what was sent.
func sendStarts(urls []string, seed uint64) ([]submission, loads.Group, error) {
	rng := rand.New(rand.NewPCG(seed, 0))
	var sent []submission
	send := func(work, params string, tasks, n int) error {
		one, err := submitJob(urls[n%len(urls)], work, params, tasks)
		sent = append(sent, one)
		return err
	}
	for n := range bulkJobs {
		if err := send("bulk", "run=10s", bulkTasks, n); err != nil {
			return nil, loads.Group{}, err
		}
	}
	sender := loads.NewSender(urls, "")
	defer sender.Close()
	profile := loads.Profile{
		Name: "looks", Seed: seed, Duration: entry.Duration(startDuration),
		Streams: []loads.Stream{{Work: "look", Owner: "desk", Rate: looksPerSecond, Run: entry.Duration(10 * time.Millisecond)}},
	}
	var results []loads.Result
	var wg sync.WaitGroup
	wg.Go(func() { results = sender.Run(context.Background(), profile.Arrivals(), nil) })
	defer wg.Wait()
	until := time.Now().Add(startDuration)
	for n := 0; time.Now().Before(until); n++ {
		work, tasks := "rescue", 1
		if n%4 == 3 {
			work, tasks = "gather", 6
		}
		if err := send(work, "run=1s", tasks, n); err != nil {
			return nil, loads.Group{}, err
		}
		const mean = 500
		time.Sleep(time.Duration(mean+rng.IntN(mean)) * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(startSettle)
	group, _ := loads.Sum("looks", seed, results).Group("desk", "look")
	return sent, group, nil
}

func submitJob(url, work, params string, tasks int) (submission, error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url+"/v1/run/"+work, bytes.NewReader(nil))
	if err != nil {
		return submission{}, err
	}
	req.Header.Set("Work-Params", params)
	req.Header.Set("Work-Tasks", fmt.Sprint(tasks))
	at := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return submission{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusAccepted {
		return submission{}, fmt.Errorf("submit %s: status %d, %s: %w", work, resp.StatusCode, body, err)
	}
	var accepted struct {
		ID string `json:"id"`
	}
	err = json.Unmarshal(body, &accepted)
	return submission{id: accepted.ID, work: work, tasks: tasks, at: at}, err
}

func countStarts(sent []submission, events []fakes.Event) starts {
	s := starts{waits: map[string]*hdrhistogram.Histogram{}, never: map[string]int{}}
	first := map[string]map[string]time.Time{}
	for _, e := range events {
		parts := strings.Split(e.Task, ".")
		if e.Kind != fakes.EventStart || len(parts) < 3 {
			continue
		}
		if first[parts[0]] == nil {
			first[parts[0]] = map[string]time.Time{}
		}
		at := time.Unix(0, e.UnixNanos)
		if known, ok := first[parts[0]][parts[1]]; !ok || at.Before(known) {
			first[parts[0]][parts[1]] = at
		}
	}
	for _, one := range sent {
		s.count(one, first[one.id])
	}
	return s
}

// count takes bulk work task by task, and everything else from its last start.
func (s *starts) count(one submission, started map[string]time.Time) {
	var last time.Duration
	for _, at := range started {
		last = max(last, at.Sub(one.at))
		if one.work == "bulk" {
			s.record(one.work, at.Sub(one.at))
		}
	}
	switch {
	case one.work == "bulk":
		s.never[one.work] += one.tasks - len(started)
	case len(started) < one.tasks:
		s.never[one.work]++
	default:
		s.record(one.work, last)
	}
}

func (s *starts) record(work string, wait time.Duration) {
	const digits = 3
	if s.waits[work] == nil {
		s.waits[work] = hdrhistogram.New(1, time.Hour.Microseconds(), digits)
	}
	_ = s.waits[work].RecordValue(wait.Microseconds())
}

func cancelAll(urls []string, sent []submission) error {
	for _, one := range sent {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodDelete, urls[0]+"/v1/jobs/"+one.id, http.NoBody)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		_ = resp.Body.Close()
	}
	return nil
}
