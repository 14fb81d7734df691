package fakes

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Params are the simulated properties of a task on a fake worker; only the fake reads them.
type Params struct {
	// RunTime is how long the task runs.
	RunTime time.Duration
	// Fail makes the task fail at the end of its run time.
	Fail bool
	// FailOnPrefix makes the task fail on workers whose names have this prefix.
	FailOnPrefix string
	// MemoryMiB is the task's actual memory use if it exceeds the declared size.
	MemoryMiB int64
	// CPUMilli is the task's actual CPU use if it exceeds the declared size.
	CPUMilli int64
	// AnswerBytes is the size of the response body; if it is negative, the request body is echoed.
	AnswerBytes int64
}

// ParseParams parses a comma-separated list such as "run=20ms,fail=true,memory-mib=512".
func ParseParams(text string) (Params, error) {
	p := Params{RunTime: time.Millisecond, AnswerBytes: -1}
	for field := range strings.SplitSeq(text, ",") {
		if field = strings.TrimSpace(field); field == "" {
			continue
		}
		name, value, _ := strings.Cut(field, "=")
		if err := p.set(name, value); err != nil {
			return Params{}, fmt.Errorf("params: %s: %w", name, err)
		}
	}
	return p, nil
}

func (p *Params) set(name, value string) error {
	var err error
	switch name {
	case "run":
		p.RunTime, err = time.ParseDuration(value)
	case "fail":
		p.Fail, err = strconv.ParseBool(value)
	case "fail-on":
		p.FailOnPrefix = value
	case "memory-mib":
		p.MemoryMiB, err = parseAmount(value)
	case "cpu-milli":
		p.CPUMilli, err = parseAmount(value)
	case "answer-bytes":
		p.AnswerBytes, err = parseAmount(value)
	default:
		err = fmt.Errorf("unknown; known are run, fail, fail-on, memory-mib, cpu-milli and answer-bytes")
	}
	return err
}

func parseAmount(value string) (int64, error) {
	amount, err := strconv.ParseInt(value, 10, 64)
	if err == nil && (amount < 0 || amount > math.MaxInt32) {
		err = fmt.Errorf("%d is outside 0 to %d", amount, math.MaxInt32)
	}
	return amount, err
}
