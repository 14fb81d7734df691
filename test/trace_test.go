package test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/loads"
)

func TestRecordedTracesMeetTheirExpectations(t *testing.T) {
	names, err := filepath.Glob("traces/*.jsonl")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(names) > 0, qt.IsTrue)
	for _, name := range names {
		t.Run(filepath.Base(name), func(t *testing.T) {
			cl := startCluster(t, clusterSpec{dataCenters: []string{"east", "west"}, hosts: 2, workers: 2})
			cl.putDocuments(testDocuments)
			trace, err := os.ReadFile(name)
			cl.c.Assert(err, qt.IsNil)
			arrivals, err := loads.ReadTrace(bytes.NewReader(trace))
			cl.c.Assert(err, qt.IsNil)
			profileYAML, err := os.ReadFile(name[:len(name)-len("jsonl")] + "yaml")
			cl.c.Assert(err, qt.IsNil)
			profile, err := loads.ParseProfile(profileYAML)
			cl.c.Assert(err, qt.IsNil)
			var urls []string
			for _, h := range cl.hosts {
				urls = append(urls, h.url)
			}
			sender := loads.NewSender(urls, "")
			defer sender.Close()
			report := loads.NewReport(profile.Name, 0, sender.Run(context.Background(), arrivals, nil))
			cl.c.Check(report.Check(profile.Expectations), qt.IsNil)
			checkPlacement(cl.c, cl.waitIdle())
		})
	}
}
