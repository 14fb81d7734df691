package cmds

import (
	"fmt"

	"github.com/spf13/pflag"

	"github.com/corianderdrift/corianderdrift/bench"
)

var cmdMeasure = command{
	name: "measure", args: "[crest|blocking|start|packing]...", short: "Measure the policy against a plain baseline", maxArgs: -1,
	long: `Run cells with a fake platform and fake workers in this process, under the policy and under the baseline (first come, first
served; the less loaded of two workers; no admission control), and print each measurement with its goal.`,
	flags: func(flags *pflag.FlagSet) {
		flags.Uint64("seed", 2, "seed of the generated loads")
		flags.Int("cases", 3, "blocking: number of cases to run")
		flags.IntSlice("workers", []int{1, 4}, "blocking: cell sizes to measure, in workers of 8 slots")
		flags.String("plot", "", "crest: file to write the plot of the highest load peak to, as PNG")
	},
	action: measure,
}

func measure(inv invocation) error {
	seed, _ := inv.flags.GetUint64("seed")
	plotFile, _ := inv.flags.GetString("plot")
	maxCases, _ := inv.flags.GetInt("cases")
	workers, _ := inv.flags.GetIntSlice("workers")
	names := inv.args
	if len(names) == 0 {
		names = []string{"crest", "blocking", "start", "packing"}
	}
	var results []bench.Row
	for _, name := range names {
		var rows []bench.Row
		var err error
		switch name {
		case "crest":
			rows, err = bench.Peak(seed, plotFile)
		case "blocking":
			rows, err = blocking(seed, maxCases, workers)
		case "start":
			rows, err = bench.Starts(seed)
		case "packing":
			rows = bench.Packing(seed)
		default:
			err = &usageError{fmt.Errorf("unknown measure %q; use crest, blocking, start or packing", name)}
		}
		if err != nil {
			return err
		}
		results = append(results, rows...)
	}
	var rows [][]string
	for _, r := range results {
		verdict := "pass"
		if !r.Passed {
			verdict = "fall short"
		}
		rows = append(rows, []string{r.Measure, r.Case, r.Full, r.Plain, r.Goal, verdict})
	}
	fmt.Fprintf(inv.out, "seed %d\n", seed)
	return printTable(inv.out, []string{"measure", "case", "policy", "baseline", "goal", "verdict"}, rows)
}

func blocking(seed uint64, maxCases int, cellSizes []int) ([]bench.Row, error) {
	var results []bench.Row
	for _, workers := range cellSizes {
		if workers < 1 {
			return nil, &usageError{fmt.Errorf("--workers: %d is below the minimum of 1", workers)}
		}
		rows, err := bench.Blocking(seed, maxCases, workers)
		if err != nil {
			return nil, err
		}
		results = append(results, rows...)
	}
	return results, nil
}
