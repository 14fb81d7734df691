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

// Row is a measurement with its goal.
type Row struct {
	Measure string
	Case    string
	// Full and Plain are the figures under the full policy and under the baseline.
	Full  string
	Plain string
	Goal  string
	// Passed reports whether the figure under the full policy meets the goal.
	Passed bool
}

const heldTimeout = 30 * time.Second

// withCell starts a cell with the given configuration, installs the catalogue and calls fn.
func withCell(cellCfg local.CellConfig, catalogue string, fn func(cell *local.Cell, urls []string) error) error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	cellCfg.Log = log
	if cellCfg.ShortLimit == 0 {
		cellCfg.ShortLimit = 500 * time.Millisecond
	}
	cell, err := local.Start(cellCfg)
	if err != nil {
		return err
	}
	defer cell.Stop()
	deadline := time.Now().Add(heldTimeout)
	for cell.NumHeld() < len(cell.Workers) && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
	}
	var urls []string
	for _, host := range cell.Hosts {
		urls = append(urls, "http://"+host.Listen.String())
	}
	if err := putCatalogue(urls, catalogue); err != nil {
		return err
	}
	return fn(cell, urls)
}

func putCatalogue(urls []string, catalogue string) error {
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
	// The other hosts poll the catalogue once a second.
	time.Sleep(1500 * time.Millisecond)
	return nil
}

// runProfile sends the load of a profile to a new cell and reports the outcomes.
func runProfile(policy conf.Policy, cellCfg local.CellConfig, catalogue string, profile loads.Profile) (loads.Report, []loads.Result, error) {
	var report loads.Report
	var results []loads.Result
	cellCfg.Policy, cellCfg.Quiet = policy, true
	err := withCell(cellCfg, catalogue, func(_ *local.Cell, urls []string) error {
		sender := loads.NewSender(urls, "")
		defer sender.Close()
		results = sender.Run(context.Background(), profile.Arrivals(), nil)
		report = loads.NewReport(profile.Name, profile.Seed, results)
		return report.Check(nil)
	})
	return report, results, err
}

// runBoth runs a profile under the full policy and under the baseline.
func runBoth(cellCfg local.CellConfig, catalogue string, profile loads.Profile) (full, plain loads.Report, fullResults []loads.Result, err error) {
	full, fullResults, err = runProfile(conf.PolicyFull, cellCfg, catalogue, profile)
	if err != nil {
		return full, plain, fullResults, err
	}
	plain, _, err = runProfile(conf.PolicyPlain, cellCfg, catalogue, profile)
	return full, plain, fullResults, err
}
