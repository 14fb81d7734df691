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

// startCatalogue has bulk work, of which some always waits, and urgent work, gangs and short requests.
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
	startDuration   = 40 * time.Second
	startSettleTime = 20 * time.Second
	maxUrgentWait   = 6100 * time.Millisecond
	// The bulk jobs have bulkTasks tasks each and keep the 32 slots of the cell busy during the whole measurement.
	bulkJobs, bulkTasks = 8, 40
	requestsPerSecond   = 200
)

var startCellConfig = local.CellConfig{
	DataCenters: []string{"local"}, Hosts: 2, Workers: 4,
	Capacity: unit.Size{CPUMilli: 16000, MemoryMiB: 32 << 10, Slots: 8, Connections: 64},
}

// submission is a submitted job.
type submission struct {
	id          string
	work        string
	tasks       int
	submittedAt time.Time
}

// startWaits records, by work, how long jobs waited until all their tasks had started.
type startWaits struct {
	// waits are in microseconds.
	waits map[string]*hdrhistogram.Histogram
	// neverStarted counts the jobs, or tasks of bulk work, that did not start.
	neverStarted map[string]int
	// requests is the outcome of the short requests.
	requests loads.GroupStats
}

// Starts measures the time from submission to start, by class, while bulk work is always waiting.
func Starts(seed uint64) ([]Row, error) {
	full, err := measureStarts(conf.PolicyFull, seed)
	if err != nil {
		return nil, err
	}
	plain, err := measureStarts(conf.PolicyPlain, seed)
	if err != nil {
		return nil, err
	}
	const name = "bulk work waits all the time"
	format := func(s startWaits, work string) string {
		h := s.waits[work]
		if h == nil {
			return fmt.Sprintf("none of %d started", s.neverStarted[work])
		}
		ms := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
		return fmt.Sprintf("p50 %s, p99 %s, max %s, %d never started", ms(50).Round(time.Millisecond), ms(99).Round(time.Millisecond),
			(time.Duration(h.Max()) * time.Microsecond).Round(time.Millisecond), s.neverStarted[work])
	}
	meetsGoal := func(work string, maxWait time.Duration) bool {
		h := full.waits[work]
		return h != nil && full.neverStarted[work] == 0 && (maxWait == 0 || time.Duration(h.Max())*time.Microsecond < maxWait)
	}
	formatRequests := func(s startWaits) string {
		return fmt.Sprintf("p50 %.1f ms, p99 %.1f ms", s.requests.WaitP50, s.requests.WaitP99)
	}
	return []Row{
		{"start: urgent batch", name, format(full, "rescue"), format(plain, "rescue"), "max < 6.1s", meetsGoal("rescue", maxUrgentWait)},
		{"start: gangs of 6", name, format(full, "gather"), format(plain, "gather"), "all start", meetsGoal("gather", 0)},
		{"start: bulk tasks", name, format(full, "bulk"), format(plain, "bulk"), "-", full.waits["bulk"] != nil},
		{"start: requests' wait", name, formatRequests(full), formatRequests(plain), "-", full.requests.InTime > 0},
	}, nil
}

func measureStarts(policy conf.Policy, seed uint64) (startWaits, error) {
	var s startWaits
	cellCfg := startCellConfig
	cellCfg.Policy = policy
	err := withCell(cellCfg, startCatalogue, func(cell *local.Cell, urls []string) error {
		submitted, group, err := submitLoad(urls, seed)
		if err != nil {
			return err
		}
		var events []fakes.Event
		for _, w := range cell.Workers {
			events = append(events, w.Events()...)
		}
		s = collectWaits(submitted, events)
		s.requests = group
		return cancelAll(urls, submitted)
	})
	return s, err
}

// submitLoad submits the jobs and sends the requests; it returns the jobs and the outcome of the requests.
func submitLoad(urls []string, seed uint64) ([]submission, loads.GroupStats, error) {
	rng := rand.New(rand.NewPCG(seed, 0))
	var submitted []submission
	submit := func(work, params string, tasks, n int) error {
		job, err := submitJob(urls[n%len(urls)], work, params, tasks)
		submitted = append(submitted, job)
		return err
	}
	for n := range bulkJobs {
		if err := submit("bulk", "run=10s", bulkTasks, n); err != nil {
			return nil, loads.GroupStats{}, err
		}
	}
	sender := loads.NewSender(urls, "")
	defer sender.Close()
	profile := loads.Profile{
		Name: "looks", Seed: seed, Duration: entry.Duration(startDuration),
		Streams: []loads.Stream{{Work: "look", Owner: "desk", Rate: requestsPerSecond, RunTime: entry.Duration(10 * time.Millisecond)}},
	}
	var results []loads.Result
	var wg sync.WaitGroup
	wg.Go(func() { results = sender.Run(context.Background(), profile.Arrivals(), nil) })
	defer wg.Wait()
	deadline := time.Now().Add(startDuration)
	for n := 0; time.Now().Before(deadline); n++ {
		work, tasks := "rescue", 1
		if n%4 == 3 {
			work, tasks = "gather", 6
		}
		if err := submit(work, "run=1s", tasks, n); err != nil {
			return nil, loads.GroupStats{}, err
		}
		const baseDelayMillis = 500
		time.Sleep(time.Duration(baseDelayMillis+rng.IntN(baseDelayMillis)) * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(startSettleTime)
	group, _ := loads.NewReport("looks", seed, results).Group("desk", "look")
	return submitted, group, nil
}

func submitJob(url, work, params string, tasks int) (submission, error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url+"/v1/run/"+work, bytes.NewReader(nil))
	if err != nil {
		return submission{}, err
	}
	req.Header.Set("Work-Params", params)
	req.Header.Set("Work-Tasks", fmt.Sprint(tasks))
	submittedAt := time.Now()
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
	return submission{id: accepted.ID, work: work, tasks: tasks, submittedAt: submittedAt}, err
}

func collectWaits(submitted []submission, events []fakes.Event) startWaits {
	s := startWaits{waits: map[string]*hdrhistogram.Histogram{}, neverStarted: map[string]int{}}
	// firstStarts holds, by job and task, the time at which the first attempt started.
	firstStarts := map[string]map[string]time.Time{}
	for _, e := range events {
		idParts := strings.Split(e.Task, ".")
		if e.Kind != fakes.EventStart || len(idParts) < 3 {
			continue
		}
		if firstStarts[idParts[0]] == nil {
			firstStarts[idParts[0]] = map[string]time.Time{}
		}
		startedAt := time.Unix(0, e.UnixNanos)
		if earliest, ok := firstStarts[idParts[0]][idParts[1]]; !ok || startedAt.Before(earliest) {
			firstStarts[idParts[0]][idParts[1]] = startedAt
		}
	}
	for _, job := range submitted {
		s.add(job, firstStarts[job.id])
	}
	return s
}

// add records the wait of each task of bulk work, and for other jobs the wait until the last task started.
func (s *startWaits) add(job submission, startTimes map[string]time.Time) {
	var lastWait time.Duration
	for _, startedAt := range startTimes {
		lastWait = max(lastWait, startedAt.Sub(job.submittedAt))
		if job.work == "bulk" {
			s.record(job.work, startedAt.Sub(job.submittedAt))
		}
	}
	switch {
	case job.work == "bulk":
		s.neverStarted[job.work] += job.tasks - len(startTimes)
	case len(startTimes) < job.tasks:
		s.neverStarted[job.work]++
	default:
		s.record(job.work, lastWait)
	}
}

func (s *startWaits) record(work string, wait time.Duration) {
	const digits = 3
	if s.waits[work] == nil {
		s.waits[work] = hdrhistogram.New(1, time.Hour.Microseconds(), digits)
	}
	_ = s.waits[work].RecordValue(wait.Microseconds())
}

func cancelAll(urls []string, submitted []submission) error {
	for _, job := range submitted {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodDelete, urls[0]+"/v1/jobs/"+job.id, http.NoBody)
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
