package cmds

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/spf13/pflag"

	"github.com/corianderdrift/corianderdrift/conf"
	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/local"
)

var cmdTry = command{
	name: "try", short: "Run a small cell in this process and submit mixed work to it",
	long: `Run a cell in this process: a fake platform, 3 data centres with 2 entry hosts each, and 12 fake workers.
Submits mixed work from an example catalogue, prints the outcomes by owner, and serves until Ctrl-C.`,
	flags: func(flags *pflag.FlagSet) {
		flags.Int("requests", 600, "number of requests to submit")
		flags.Int("base-port", 18080, "first loopback port of the entry hosts; 0 selects free ports")
		flags.Bool("exit", false, "exit after the table is printed")
		flags.Int64("seed", 1, "seed of the random mix of work")
	},
	action: try,
}

// tally counts the outcomes of one owner's requests.
type tally struct {
	requests, answered, notRun, unknown, failed int
	latencies                                   []time.Duration
}

type trial struct {
	cell    *local.Cell
	works   []entry.Work
	mu      sync.Mutex
	tallies map[string]*tally
	jobURLs []string
}

func try(inv invocation) error {
	basePort, _ := inv.flags.GetInt("base-port")
	requests, _ := inv.flags.GetInt("requests")
	seed, _ := inv.flags.GetInt64("seed")
	log := logrus.New()
	log.SetLevel(logrus.WarnLevel)
	cell, err := local.Start(local.CellConfig{
		DataCenters: []string{"kollam", "kochi", "thrissur"}, Hosts: 2, Workers: 4, BasePort: basePort, Log: log,
		Policy: conf.PolicyFull, ShortLimit: 500 * time.Millisecond, Capacity: local.PlainWorkerSize,
		AcceleratedCapacity: local.AcceleratedWorkerSize, AcceleratedEvery: 2,
	})
	if err != nil {
		return err
	}
	defer cell.Stop()
	t := &trial{cell: cell, tallies: map[string]*tally{}}
	if err := t.putCatalogue(); err != nil {
		return err
	}
	for cell.NumHeld() < len(cell.Workers) && inv.ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
	}
	t.submitAll(inv, requests, seed)
	if err := t.print(inv.out); err != nil {
		return err
	}
	fmt.Fprintf(inv.out, "\nTo try it by hand:\n  curl -d hello -H 'Work-Params: run=20ms' http://%s/v1/run/balance-check\n", cell.Hosts[0].Listen)
	fmt.Fprintf(inv.out, "  corianderdrift workers --host http://%s\n", cell.Hosts[0].Listen)
	if exit, _ := inv.flags.GetBool("exit"); exit {
		return nil
	}
	fmt.Fprintln(inv.out, "\nServing until Ctrl-C.")
	<-inv.ctx.Done()
	return nil
}

func (t *trial) putCatalogue() error {
	docs, err := entry.ParseFile(local.Catalogue)
	if err != nil {
		return err
	}
	for _, doc := range docs {
		url := "http://" + t.cell.Hosts[0].Listen.String() + "/v1/catalogue/" + doc.Key
		status, _, respBody, err := doHTTP(http.MethodPut, url, doc.Raw, nil)
		if err != nil || status != http.StatusOK {
			return fmt.Errorf("%s: status %d: %s %w", doc.Key, status, respBody, err)
		}
	}
	c, err := entry.NewCatalogue(1, docs)
	if err != nil {
		return err
	}
	t.works = c.Works()
	return t.waitForCatalogue(uint64(len(docs)))
}

func (t *trial) waitForCatalogue(version uint64) error {
	for _, host := range t.cell.Hosts {
		for {
			_, _, body, err := doHTTP(http.MethodGet, "http://"+host.Listen.String()+"/v1/catalogue", nil, nil)
			if err != nil {
				return err
			}
			if strings.HasPrefix(string(body), fmt.Sprintf(`{"version":%d,`, version)) {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func doHTTP(method, url string, body []byte, header http.Header) (int, http.Header, []byte, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, respBody, err
}

func (t *trial) submitAll(inv invocation, requests int, seed int64) {
	const maxConcurrent = 48
	rng := rand.New(rand.NewPCG(uint64(seed), 0))
	var wg sync.WaitGroup
	sem := make(chan struct{}, maxConcurrent)
	for i := range requests {
		if inv.ctx.Err() != nil {
			break
		}
		work := t.pickWork(rng, i)
		runTime := time.Duration(float64(work.RunTime.D()) * (0.5 + rng.ExpFloat64()/2))
		host := t.cell.Hosts[rng.IntN(len(t.cell.Hosts))]
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			t.submitOne(work, host, runTime)
		})
	}
	wg.Wait()
	t.waitForJobs(inv)
}

// pickWork picks a job for every 60th submission and a request for the others.
func (t *trial) pickWork(rng *rand.Rand, i int) entry.Work {
	const jobEvery = 60
	for {
		work := t.works[rng.IntN(len(t.works))]
		isRequest := work.Class == entry.Request
		if isRequest != (i%jobEvery == jobEvery-1) {
			return work
		}
	}
}

func (t *trial) submitOne(work entry.Work, host conf.Host, runTime time.Duration) {
	header := http.Header{"Work-Params": {"run=" + runTime.Round(time.Millisecond).String()}}
	if !work.Repeatable {
		header.Set("Idempotency-Key", uuid.NewString())
	}
	started := time.Now()
	url := "http://" + host.Listen.String() + "/v1/run/" + work.Name
	status, respHeader, respBody, err := doHTTP(http.MethodPost, url, []byte("example"), header)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tallies[work.Owner] == nil {
		t.tallies[work.Owner] = &tally{}
	}
	counts := t.tallies[work.Owner]
	counts.requests++
	switch {
	case err == nil && status/100 == 2:
		counts.answered++
		counts.latencies = append(counts.latencies, time.Since(started))
		if location := respHeader.Get("Location"); location != "" && work.Class != entry.Service {
			t.jobURLs = append(t.jobURLs, "http://"+host.Listen.String()+location)
		}
	case bytes.Contains(respBody, []byte(`"outcome":"not-run"`)):
		counts.notRun++
	case bytes.Contains(respBody, []byte(`"outcome":"failed"`)):
		counts.failed++
	default:
		counts.unknown++
	}
}

func (t *trial) waitForJobs(inv invocation) {
	for _, url := range t.jobURLs {
		for inv.ctx.Err() == nil {
			_, _, body, err := doHTTP(http.MethodGet, url, nil, nil)
			if err != nil || bytes.Contains(body, []byte(`"ended"`)) {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (t *trial) print(out io.Writer) error {
	var owners []string
	for owner := range t.tallies {
		owners = append(owners, owner)
	}
	sort.Strings(owners)
	var rows [][]string
	for _, owner := range owners {
		counts := t.tallies[owner]
		sort.Slice(counts.latencies, func(i, j int) bool { return counts.latencies[i] < counts.latencies[j] })
		rows = append(rows, []string{
			owner, strconv.Itoa(counts.requests), strconv.Itoa(counts.answered), strconv.Itoa(counts.notRun), strconv.Itoa(counts.unknown),
			strconv.Itoa(counts.failed), percentile(counts.latencies, 50), percentile(counts.latencies, 99),
		})
	}
	fmt.Fprintf(out, "waited for %d jobs to end\n", len(t.jobURLs))
	return printTable(out, []string{"owner", "asked", "answered", "not-run", "unknown", "failed", "p50", "p99"}, rows)
}

func percentile(sorted []time.Duration, percent int) string {
	if len(sorted) == 0 {
		return "-"
	}
	return sorted[min(len(sorted)-1, len(sorted)*percent/100)].Round(time.Millisecond).String()
}
