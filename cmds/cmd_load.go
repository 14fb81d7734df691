package cmds

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/spf13/pflag"

	"github.com/corianderdrift/corianderdrift/loads"
)

var cmdLoad = command{
	name: "load", short: "Send open-loop load from a profile or a recorded trace and report the outcomes",
	long: `Send requests at the times given by a seeded profile or a recorded trace, without waiting for earlier responses, so that
a slow system can't hide waiting times. Prints percentiles of the wait by owner and work; --report writes the whole report
as JSON, --plot plots it over time. The exit code is 1 if the outcomes that the profile expects are not met.`,
	example: "  corianderdrift load --profile loads/profiles/trust-crest.yaml --hosts http://127.0.0.1:18080 --plot crest.png",
	flags: func(flags *pflag.FlagSet) {
		flags.String("profile", "", "profile file (YAML or JSON)")
		flags.String("trace", "", "trace file with one arrival per line; a profile given as well sets the expected outcomes")
		flags.StringSlice("hosts", []string{"http://127.0.0.1:8080"}, "URLs of entry hosts")
		flags.String("report", "", "file to write the report to, as JSON")
		flags.String("plot", "", "file to write the plot to, as PNG")
		flags.String("save-trace", "", "file to write the arrivals to, as a trace")
		flags.String("token", "", "token of an owner")
	},
	action: load,
}

func load(inv invocation) error {
	profile, arrivals, err := readLoad(inv)
	if err != nil {
		return err
	}
	if name, _ := inv.flags.GetString("save-trace"); name != "" {
		if err := writeFile(name, func(f *os.File) error { return loads.WriteTrace(f, arrivals) }); err != nil {
			return err
		}
	}
	hosts, _ := inv.flags.GetStringSlice("hosts")
	token, _ := inv.flags.GetString("token")
	sender := loads.NewSender(hosts, token)
	defer sender.Close()
	report := loads.NewReport(profile.Name, profile.Seed, sender.Run(inv.ctx, arrivals, progressLine(len(arrivals))))
	fmt.Fprintln(os.Stderr)
	if err := printReport(inv.out, report); err != nil {
		return err
	}
	if name, _ := inv.flags.GetString("report"); name != "" {
		if err := writeFile(name, func(f *os.File) error { return json.NewEncoder(f).Encode(report) }); err != nil {
			return err
		}
	}
	if name, _ := inv.flags.GetString("plot"); name != "" {
		if err := report.Plot(name); err != nil {
			return err
		}
	}
	return report.Check(profile.Expectations)
}

func readLoad(inv invocation) (loads.Profile, []loads.Arrival, error) {
	var profile loads.Profile
	profileName, _ := inv.flags.GetString("profile")
	traceName, _ := inv.flags.GetString("trace")
	if profileName == "" && traceName == "" {
		return profile, nil, &usageError{errors.New("--profile or --trace is required")}
	}
	if profileName != "" {
		data, err := readFile(profileName)
		if err != nil {
			return profile, nil, &usageError{err}
		}
		if profile, err = loads.ParseProfile(data); err != nil {
			return profile, nil, &usageError{err}
		}
	}
	if traceName == "" {
		return profile, profile.Arrivals(), nil
	}
	file, err := os.Open(traceName)
	if err != nil {
		return profile, nil, &usageError{err}
	}
	defer file.Close()
	arrivals, err := loads.ReadTrace(file)
	if err != nil {
		return profile, nil, &usageError{err}
	}
	return profile, arrivals, nil
}

func writeFile(name string, write func(f *os.File) error) error {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	return errors.Join(write(file), file.Close())
}

// progressLine returns a function that prints the number of requests sent, at most four times a second.
func progressLine(total int) func(sent int) {
	const interval = 250 * time.Millisecond
	var lastShown time.Time
	return func(sent int) {
		if time.Since(lastShown) < interval {
			return
		}
		lastShown = time.Now()
		fmt.Fprintf(os.Stderr, "\rsent %d of %d", sent, total)
	}
}

func printReport(out io.Writer, report loads.Report) error {
	var rows [][]string
	for _, g := range report.Groups {
		rows = append(rows, []string{
			g.Owner, g.Work, strconv.Itoa(g.Requests), strconv.Itoa(g.InTime), strconv.Itoa(g.Late), strconv.Itoa(g.NotRun),
			strconv.Itoa(g.Unknown), strconv.Itoa(g.Failed), fmt.Sprintf("%.1f", g.WaitP50), fmt.Sprintf("%.1f", g.WaitP99),
			fmt.Sprintf("%.1f", g.RefusalP99),
		})
	}
	header := []string{
		"owner", "work", "asked", "in-time", "late", "not-run", "unknown", "failed", "wait-p50-ms", "wait-p99-ms", "refusal-p99-ms",
	}
	if err := printTable(out, header, rows); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "the sender itself was late by %.1f ms at p99\n", report.SendDelayP99)
	return err
}
