package fakes

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Params tell the stand-in worker how a task behaves; only the stand-in reads them.
type Params struct {
	// Run is how long the task runs.
	Run time.Duration
	// Fail makes the task end as failed.
	Fail bool
	// FailOn is a prefix of the names of the workers on which the task fails.
	FailOn string
	// MemoryMiB is what the task really takes, if not what it declares.
	MemoryMiB int64
	// CPUMilli is what the task really takes, if not what it declares.
	CPUMilli int64
	// AnswerBytes is the size of the answer; by default the body is echoed.
	AnswerBytes int64
}

// ParseParams reads "run=20ms,fail=true,memory-mib=512", and the like.
func ParseParams(text string) (Params, error) {
	p := Params{Run: time.Millisecond, AnswerBytes: -1}
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
		p.Run, err = time.ParseDuration(value)
	case "fail":
		p.Fail, err = strconv.ParseBool(value)
	case "fail-on":
		p.FailOn = value
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
