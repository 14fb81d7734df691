package cmds

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/spf13/pflag"
)

const worstFlag = "worst"

var cmdDelays = command{
	name:  "delays",
	args:  "[FILE...]",
	short: "Print how late hosts had each configuration in force, from their logs",
	long: `Read the logs of all hosts from files, or from standard input, and print how long after its arrival at the first host each
configuration, or a newer one, was in force at the others: the distribution, and the worst cases with the path over which it arrived
and the failed calls before that.

A process counts from its first configuration on, so a host that starts is not late. The clocks of the hosts must agree.`,
	example: "  corianderdrift delays host-*.log",
	maxArgs: -1,
	flags: func(flags *pflag.FlagSet) {
		flags.Int(worstFlag, 10, "how many of the worst cases to print")
	},
	action: delays,
}

// Messages of log lines about configurations.
const (
	startedMessage  = "host started"
	receivedMessage = "configuration received"
	appliedMessage  = "configuration applied"
	failedMessage   = "following the table failed; retrying"
	againMessage    = "following the table failed again"
	recordMessage   = "the record of required keys can't be reached; retrying"
)

// delay is how late a host had a configuration in force.
type delay struct {
	host    string
	version float64
	// stored is when the first host received it, and late how much later it was in force here.
	stored time.Time
	late   time.Duration
	// via and received tell how and when it, or the newer one in force then, arrived here.
	via      any
	received time.Time
	// numFailed counts the failed calls in between, and lastError is the last one's error.
	numFailed int
	lastError any
}

func delays(inv invocation) error {
	lines, err := readLogs(inv.args)
	if err != nil {
		return err
	}
	worst, err := inv.flags.GetInt(worstFlag)
	if err != nil {
		return err
	}
	list := findDelays(lines)
	if len(list) == 0 {
		return fmt.Errorf("no configuration arrived at a host that had an older one")
	}
	printDelays(inv.out, list, worst)
	return nil
}

// hostDelays is the state of a host while its lines are read.
type hostDelays struct {
	// inForce is the version in force, 0 before the first one of the process.
	inForce   float64
	waiting   []delay
	via       any
	received  time.Time
	numFailed int
	lastError any
}

// timedLine is a log line with its time.
type timedLine struct {
	*logLine
	at time.Time
}

// sortByTime returns the lines that have a time in order; as texts, times with unlike numbers of digits are not.
func sortByTime(lines []logLine) []timedLine {
	var list []timedLine
	for i := range lines {
		if at, err := time.Parse(time.RFC3339Nano, lines[i].Time); err == nil {
			list = append(list, timedLine{&lines[i], at})
		}
	}
	slices.SortStableFunc(list, func(a, b timedLine) int { return a.at.Compare(b.at) })
	return list
}

// findDelays returns a delay for each configuration and each host that had an older one in force when it was stored, the largest first.
func findDelays(lines []logLine) []delay {
	hosts := map[string]*hostDelays{}
	stored := map[float64]bool{}
	var list []delay
	for _, l := range sortByTime(lines) {
		at := l.at
		h, ok := hosts[l.Host]
		if !ok {
			h = &hostDelays{}
			hosts[l.Host] = h
		}
		version, _ := l.fields["version"].(float64)
		switch l.Msg {
		case startedMessage:
			*h = hostDelays{}
		case failedMessage, againMessage, recordMessage:
			if table, ok := l.fields["table"]; !ok || table == "op" {
				h.numFailed++
				h.lastError = l.fields["error"]
			}
		case receivedMessage:
			h.via, h.received = l.fields["via"], at
			if stored[version] {
				break
			}
			stored[version] = true
			for name, other := range hosts {
				if other.inForce > 0 && other.inForce < version {
					other.waiting = append(other.waiting, delay{host: name, version: version, stored: at, numFailed: -other.numFailed})
				}
			}
		case appliedMessage:
			h.inForce = max(h.inForce, version)
			h.waiting = slices.DeleteFunc(h.waiting, func(d delay) bool {
				if d.version > h.inForce {
					return false
				}
				d.late, d.via, d.received = at.Sub(d.stored), h.via, h.received
				if d.numFailed += h.numFailed; d.numFailed > 0 {
					d.lastError = h.lastError
				}
				list = append(list, d)
				return true
			})
		}
	}
	slices.SortStableFunc(list, func(a, b delay) int {
		return cmp.Or(cmp.Compare(b.late, a.late), cmp.Compare(a.host, b.host), cmp.Compare(a.version, b.version))
	})
	return list
}

func printDelays(w io.Writer, list []delay, worst int) {
	fmt.Fprintf(w, "%d configurations at hosts, in force", len(list))
	for _, percent := range []int{50, 90, 99, 100} {
		fmt.Fprintf(w, "  %d%% within %v", percent, list[(len(list)-1)*(100-percent)/100].late.Round(time.Millisecond))
	}
	fmt.Fprintln(w)
	for _, d := range list[:min(worst, len(list))] {
		fmt.Fprintf(w, "%v  %s  version %.0f  stored %s  received after %v via %v  failed calls %d",
			d.late.Round(time.Millisecond), d.host, d.version, d.stored.Format("15:04:05.000"),
			d.received.Sub(d.stored).Round(time.Millisecond), d.via, d.numFailed)
		if d.numFailed > 0 {
			fmt.Fprintf(w, ", the last one: %v", d.lastError)
		}
		fmt.Fprintln(w)
	}
}
