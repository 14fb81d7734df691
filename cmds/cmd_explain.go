package cmds

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
)

var cmdExplain = command{
	name:  "explain",
	args:  "ID [FILE...]",
	short: "Print the history of a job from the hosts' logs",
	long: `Read the logs of one or more hosts from files, or from standard input, and print the lines about a job in order of time:
which host accepted it, which workers the advisor was asked about, where its tasks ran and how they ended.

Lines may have other text before the JSON object. Log lines about the workers on which the job ran, such as those of a worker
that stopped answering, restarted or was quarantined while the job existed, are also printed and marked with a plus sign.`,
	example: "  corianderdrift explain 5c0e7a21d94b36f8 host-*.log",
	minArgs: 1,
	maxArgs: -1,
	action:  explain,
}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// logLine is one line of a host's log.
type logLine struct {
	Time   string `json:"time"`
	Host   string `json:"host"`
	Level  string `json:"level"`
	Msg    string `json:"msg"`
	Job    string `json:"job"`
	Step   string `json:"step"`
	Worker string `json:"worker"`
	fields map[string]any
}

func explain(inv invocation) error {
	lines, err := readLogs(inv.args[1:])
	if err != nil {
		return err
	}
	id := inv.args[0]
	first, last := -1, -1
	workers := map[string]bool{}
	for i := range lines {
		if !lines[i].concerns(id) {
			continue
		}
		if first < 0 {
			first = i
		}
		last = i
		if lines[i].Worker != "" {
			workers[lines[i].Worker] = true
		}
	}
	if first < 0 {
		return fmt.Errorf("no line concerns job %s", id)
	}
	for i := first; i <= last; i++ {
		l := &lines[i]
		switch {
		case l.concerns(id):
			fmt.Fprintln(inv.out, l.format(" "))
		case l.Job == "" && workers[l.Worker]:
			fmt.Fprintln(inv.out, l.format("+"))
		}
	}
	return nil
}

func (l *logLine) concerns(id string) bool { return l.Job == id || strings.HasPrefix(l.Step, id+".") }

// format returns the line for printing: time, host, message and all further fields.
func (l *logLine) format(mark string) string {
	keys := make([]string, 0, len(l.fields))
	for k := range l.fields {
		switch k {
		case "time", "host", "level", "msg", "job":
		default:
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	var b strings.Builder
	fmt.Fprintf(&b, "%s%s %-20s %s", mark, l.Time, l.Host, l.Msg)
	for _, k := range keys {
		fmt.Fprintf(&b, " %s=%v", k, l.fields[k])
	}
	return b.String()
}

func readLogs(files []string) ([]logLine, error) {
	if len(files) == 0 {
		return readLog(os.Stdin)
	}
	var all []logLine
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		lines, err := readLog(f)
		_ = f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, lines...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Time < all[j].Time })
	return all, nil
}

func readLog(r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		_, object, ok := strings.Cut(scanner.Text(), "{")
		if !ok {
			continue
		}
		raw := []byte("{" + object)
		var l logLine
		if json.Unmarshal(raw, &l) != nil || json.Unmarshal(raw, &l.fields) != nil || l.Msg == "" {
			// Other programs may write to the same files.
			continue
		}
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}
