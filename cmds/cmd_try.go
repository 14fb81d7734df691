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
	long: `Run a cell of stand-ins in this process: a platform, 3 data centres with 2 entry hosts each and 12 workers.
It submits mixed work from an example catalogue, prints what every owner got, and serves until Ctrl-C.`,
	flags: func(flags *pflag.FlagSet) {
		flags.Int("requests", 600, "number of requests to submit")
		flags.Int("base-port", 18080, "first loopback port of the entry hosts; 0 takes free ones")
		flags.Bool("exit", false, "stop after the table instead of serving on")
		flags.Int64("seed", 1, "seed of the mix")
	},
	action: try,
}

// tally is what one owner got.
type tally struct {
	asked, answered, notRun, unknown, failed int
	times                                    []time.Duration
}

type trial struct {
	cell  *local.Cell
	works []entry.Work
	mu    sync.Mutex
	got   map[string]*tally
	jobs  []string
}

func try(in call) error {
	base, _ := in.flags.GetInt("base-port")
	requests, _ := in.flags.GetInt("requests")
	seed, _ := in.flags.GetInt64("seed")
	log := logrus.New()
	log.SetLevel(logrus.WarnLevel)
	cell, err := local.Start(local.Shape{
		DataCenters: []string{"kollam", "kochi", "thrissur"}, Hosts: 2, Workers: 4, Base: base, Log: log,
		Policy: conf.PolicyFull, ShortLimit: 500 * time.Millisecond, Capacity: local.PlainWorker,
		Accelerated: local.AcceleratedWorker, AcceleratedEvery: 2,
	})
	if err != nil {
		return err
	}
	defer cell.Stop()
	t := &trial{cell: cell, got: map[string]*tally{}}
	if err := t.putCatalogue(); err != nil {
		return err
	}
	for cell.Held() < len(cell.Workers) && in.ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
	}
	t.submitAll(in, requests, seed)
	if err := t.print(in.out); err != nil {
		return err
	}
	fmt.Fprintf(in.out, "\nTry it by hand:\n  curl -d hello -H 'Work-Params: run=20ms' http://%s/v1/run/balance-check\n", cell.Hosts[0].Listen)
	fmt.Fprintf(in.out, "  corianderdrift workers --host http://%s\n", cell.Hosts[0].Listen)
	if exit, _ := in.flags.GetBool("exit"); exit {
		return nil
	}
	fmt.Fprintln(in.out, "\nServing until Ctrl-C.")
	<-in.ctx.Done()
	return nil
}

func (t *trial) putCatalogue() error {
	docs, err := entry.ParseFile(local.Catalogue)
	if err != nil {
		return err
	}
	for _, doc := range docs {
		url := "http://" + t.cell.Hosts[0].Listen.String() + "/v1/catalogue/" + doc.Key
		status, _, answer, err := post(http.MethodPut, url, doc.Raw, nil)
		if err != nil || status != http.StatusOK {
			return fmt.Errorf("%s: status %d: %s %w", doc.Key, status, answer, err)
		}
	}
	c, err := entry.NewCatalogue(1, docs)
	if err != nil {
		return err
	}
	t.works = c.Works()
	return t.waitCatalogue(uint64(len(docs)))
}

func (t *trial) waitCatalogue(version uint64) error {
	for _, host := range t.cell.Hosts {
		for {
			_, _, body, err := post(http.MethodGet, "http://"+host.Listen.String()+"/v1/catalogue", nil, nil)
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

func post(method, url string, body []byte, header http.Header) (int, http.Header, []byte, error) {
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
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, answer, err
}

func (t *trial) submitAll(in call, requests int, seed int64) {
	const together = 48
	rng := rand.New(rand.NewPCG(uint64(seed), 0))
	var wg sync.WaitGroup
	slots := make(chan struct{}, together)
	for i := range requests {
		if in.ctx.Err() != nil {
			break
		}
		work := t.pick(rng, i)
		run := time.Duration(float64(work.RunTime.D()) * (0.5 + rng.ExpFloat64()/2))
		host := t.cell.Hosts[rng.IntN(len(t.cell.Hosts))]
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			t.submitOne(work, host, run)
		})
	}
	wg.Wait()
	t.waitJobs(in)
}

// pick chooses requests mostly, and jobs now and then.
func (t *trial) pick(rng *rand.Rand, i int) entry.Work {
	const jobEvery = 60
	for {
		work := t.works[rng.IntN(len(t.works))]
		isRequest := work.Class == entry.Request
		if isRequest != (i%jobEvery == jobEvery-1) {
			return work
		}
	}
}

func (t *trial) submitOne(work entry.Work, host conf.Host, run time.Duration) {
	header := http.Header{"Work-Params": {"run=" + run.Round(time.Millisecond).String()}}
	if !work.Repeatable {
		header.Set("Idempotency-Key", uuid.NewString())
	}
	started := time.Now()
	url := "http://" + host.Listen.String() + "/v1/run/" + work.Name
	status, got, answer, err := post(http.MethodPost, url, []byte("example"), header)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.got[work.Owner] == nil {
		t.got[work.Owner] = &tally{}
	}
	o := t.got[work.Owner]
	o.asked++
	switch {
	case err == nil && status/100 == 2:
		o.answered++
		o.times = append(o.times, time.Since(started))
		if location := got.Get("Location"); location != "" && work.Class != entry.Service {
			t.jobs = append(t.jobs, "http://"+host.Listen.String()+location)
		}
	case bytes.Contains(answer, []byte(`"outcome":"not-run"`)):
		o.notRun++
	case bytes.Contains(answer, []byte(`"outcome":"failed"`)):
		o.failed++
	default:
		o.unknown++
	}
}

func (t *trial) waitJobs(in call) {
	for _, url := range t.jobs {
		for in.ctx.Err() == nil {
			_, _, body, err := post(http.MethodGet, url, nil, nil)
			if err != nil || bytes.Contains(body, []byte(`"ended"`)) {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (t *trial) print(out io.Writer) error {
	var owners []string
	for owner := range t.got {
		owners = append(owners, owner)
	}
	sort.Strings(owners)
	var rows [][]string
	for _, owner := range owners {
		o := t.got[owner]
		sort.Slice(o.times, func(i, j int) bool { return o.times[i] < o.times[j] })
		rows = append(rows, []string{
			owner, strconv.Itoa(o.asked), strconv.Itoa(o.answered), strconv.Itoa(o.notRun), strconv.Itoa(o.unknown),
			strconv.Itoa(o.failed), quantile(o.times, 50), quantile(o.times, 99),
		})
	}
	fmt.Fprintf(out, "%d jobs followed to their end\n", len(t.jobs))
	return table(out, []string{"owner", "asked", "answered", "not-run", "unknown", "failed", "p50", "p99"}, rows)
}

func quantile(times []time.Duration, percent int) string {
	if len(times) == 0 {
		return "-"
	}
	return times[min(len(times)-1, len(times)*percent/100)].Round(time.Millisecond).String()
}
