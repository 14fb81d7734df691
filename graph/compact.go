package graph

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Names of the fields in the compact form of a step.
const (
	compactCount        = "count"
	compactCPU          = "cpu-milli"
	compactMemory       = "memory-mib"
	compactAccelerators = "accelerators"
	compactEstimate     = "estimate-ms"
	compactAfter        = "after"
	compactGang         = "gang"
	compactColocate     = "colocate"
	compactSpeculative  = "copies"
	compactLongRunning  = "lasting"
	compactBackfill     = "fills"
	compactLabel        = "label"
	compactDataRack     = "data-rack"
	compactMaxPerWorker = "max-per-worker"
	compactImage        = "image"
	compactTarget       = "target-ms"
)

// Compact returns what a step needs as one line of fields NAME=VALUE and NAME, separated by commas. Checkpoints and how many tasks may be unavailable,
// which don't matter for where a task may start, are left out.
func (s *Step) Compact() string {
	fields := []string{compactCount + "=" + strconv.Itoa(s.Count)}
	number := func(name string, n int64) {
		if n != 0 {
			fields = append(fields, name+"="+strconv.FormatInt(n, 10))
		}
	}
	text := func(name, value string) {
		if value != "" {
			fields = append(fields, name+"="+url.QueryEscape(value))
		}
	}
	flag := func(name string, set bool) {
		if set {
			fields = append(fields, name)
		}
	}
	number(compactCPU, s.Size.CPUMilli)
	number(compactMemory, s.Size.MemoryMiB)
	number(compactAccelerators, s.Size.Accelerators)
	number(compactEstimate, s.Estimate.Milliseconds())
	number(compactMaxPerWorker, int64(s.MaxPerWorker))
	number(compactTarget, s.LatencyTarget.Milliseconds())
	for _, dep := range s.After {
		fields = append(fields, compactAfter+"="+strconv.Itoa(dep))
	}
	flag(compactGang, s.Gang)
	flag(compactColocate, s.Colocate)
	flag(compactSpeculative, s.Speculative)
	flag(compactLongRunning, s.LongRunning)
	flag(compactBackfill, s.Backfill)
	text(compactLabel, s.Label)
	text(compactDataRack, s.DataRack)
	text(compactImage, s.Image)
	return strings.Join(fields, ",")
}

// ParseStep parses the compact form of a step. The error is an *InvalidError.
func ParseStep(compact string) (Step, error) {
	s := Step{MaxUnavailable: -1}
	for field := range strings.SplitSeq(compact, ",") {
		name, value, hasValue := strings.Cut(field, "=")
		var err error
		if hasValue {
			err = s.setCompact(name, value)
		} else {
			err = s.setCompactFlag(name)
		}
		if err != nil {
			return Step{}, err
		}
	}
	return s, nil
}

func (s *Step) setCompactFlag(name string) error {
	flags := map[string]*bool{
		compactGang: &s.Gang, compactColocate: &s.Colocate, compactSpeculative: &s.Speculative, compactLongRunning: &s.LongRunning,
		compactBackfill: &s.Backfill,
	}
	flag, ok := flags[name]
	if !ok {
		return &InvalidError{"step", fmt.Sprintf("has no flag %.40q", name)}
	}
	*flag = true
	return nil
}

func (s *Step) setCompact(name, value string) error {
	texts := map[string]*string{compactLabel: &s.Label, compactDataRack: &s.DataRack, compactImage: &s.Image}
	if text, ok := texts[name]; ok {
		unescaped, err := url.QueryUnescape(value)
		if err != nil {
			return &InvalidError{"step", fmt.Sprintf("has a malformed %s", name)}
		}
		*text = unescaped
		return nil
	}
	// 32 bits hold all amounts that workers have, and no sum or product of them overflows.
	n, err := strconv.ParseInt(value, 10, 32)
	if err != nil || n < 0 {
		return &InvalidError{"step", fmt.Sprintf("has a malformed %.40q", name)}
	}
	switch name {
	case compactCount:
		s.Count = int(n)
	case compactCPU:
		s.Size.CPUMilli = n
	case compactMemory:
		s.Size.MemoryMiB = n
	case compactAccelerators:
		s.Size.Accelerators = n
	case compactEstimate:
		s.Estimate = time.Duration(n) * time.Millisecond
	case compactMaxPerWorker:
		s.MaxPerWorker = int(n)
	case compactTarget:
		s.LatencyTarget = time.Duration(n) * time.Millisecond
	case compactAfter:
		s.After = append(s.After, int(n))
	default:
		return &InvalidError{"step", fmt.Sprintf("has no field %.40q", name)}
	}
	return nil
}
