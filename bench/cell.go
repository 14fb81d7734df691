package bench

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/conf"
	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/loads"
	"github.com/corianderdrift/corianderdrift/local"
)

// Row is one measured figure beside its goal.
type Row struct {
	Measure string
	Case    string
	Full    string
	Plain   string
	Goal    string
	Passed  bool
}

const heldWait = 30 * time.Second

// withCell runs use on a cell of the given shape with the given catalogue in force.
func withCell(shape local.Shape, catalogue string, use func(cell *local.Cell, urls []string) error) error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	shape.Log = log
	if shape.ShortLimit == 0 {
		shape.ShortLimit = 500 * time.Millisecond
	}
	cell, err := local.Start(shape)
	if err != nil {
		return err
	}
	defer cell.Stop()
	until := time.Now().Add(heldWait)
	for cell.Held() < len(cell.Workers) && time.Now().Before(until) {
		time.Sleep(20 * time.Millisecond)
	}
	var urls []string
	for _, host := range cell.Hosts {
		urls = append(urls, "http://"+host.Listen.String())
	}
	if err := putAll(urls, catalogue); err != nil {
		return err
	}
	return use(cell, urls)
}

func putAll(urls []string, catalogue string) error {
	docs, err := entry.ParseFile([]byte(catalogue))
	if err != nil {
		return err
	}
	for _, doc := range docs {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodPut, urls[0]+"/v1/catalogue/"+doc.Key, bytes.NewReader(doc.Raw))
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("%s: %s", doc.Key, body)
		}
	}
	// Followers poll once a second.
	time.Sleep(1500 * time.Millisecond)
	return nil
}

// run sends a profile to a fresh cell and reports what its callers got.
func run(policy conf.Policy, shape local.Shape, catalogue string, profile loads.Profile) (loads.Report, []loads.Result, error) {
	var report loads.Report
	var results []loads.Result
	shape.Policy, shape.Quiet = policy, true
	err := withCell(shape, catalogue, func(_ *local.Cell, urls []string) error {
		sender := loads.NewSender(urls, "")
		defer sender.Close()
		results = sender.Run(context.Background(), profile.Arrivals(), nil)
		report = loads.Sum(profile.Name, profile.Seed, results)
		return report.Check(nil)
	})
	return report, results, err
}

// both runs a profile under the policy and under the baseline.
func both(shape local.Shape, catalogue string, profile loads.Profile) (full, plain loads.Report, fullResults []loads.Result, err error) {
	full, fullResults, err = run(conf.PolicyFull, shape, catalogue, profile)
	if err != nil {
		return full, plain, fullResults, err
	}
	plain, _, err = run(conf.PolicyPlain, shape, catalogue, profile)
	return full, plain, fullResults, err
}
