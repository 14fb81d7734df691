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
	short: "Print the life of a job from the hosts' logs",
	long: `Read log lines of one or more hosts from files, or from standard input, and print those that concern a job in the order of
their times: who took it, which workers were asked about, where its tasks ran and how they ended.

Lines may have other text in front of the JSON object. Workers on which the job ran are followed too: the lines in which one
of them stopped answering, started anew or was benched while the job lived are marked with a plus sign.`,
	example: "  corianderdrift explain 5c0e7a21d94b36f8 host-*.log",
	least:   1,
	most:    -1,
	action:  explain,
}

// maxLine bounds a log line.
const maxLine = 1 << 20

// logLine is one line of a host's log.
type logLine struct {
	Time   string `json:"time"`
	Host   string `json:"host"`
	Level  string `json:"level"`
	Msg    string `json:"msg"`
	Job    string `json:"job"`
	Step   string `json:"step"`
	Worker string `json:"worker"`
	rest   map[string]any
}

func explain(in call) error {
	lines, err := readLogs(in.args[1:])
	if err != nil {
		return err
	}
	id := in.args[0]
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
			fmt.Fprintln(in.out, l.text(" "))
		case l.Job == "" && workers[l.Worker]:
			fmt.Fprintln(in.out, l.text("+"))
		}
	}
	return nil
}

func (l *logLine) concerns(id string) bool { return l.Job == id || strings.HasPrefix(l.Step, id+".") }

// text returns the line for reading: time, host, what happened, and on what it was decided.
func (l *logLine) text(mark string) string {
	keys := make([]string, 0, len(l.rest))
	for k := range l.rest {
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
		fmt.Fprintf(&b, " %s=%v", k, l.rest[k])
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
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		_, object, ok := strings.Cut(scanner.Text(), "{")
		if !ok {
			continue
		}
		raw := []byte("{" + object)
		var l logLine
		if json.Unmarshal(raw, &l) != nil || json.Unmarshal(raw, &l.rest) != nil || l.Msg == "" {
			// Other programs may write to the same files.
			continue
		}
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}
