package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/pflag"

	"github.com/corianderdrift/corianderdrift/agent"
	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/platform"
)

var cmdWhere = command{
	name:  "where",
	args:  "[JOB]",
	short: "Show why the tasks of a job wait and which workers would take them (platform mode)",
	long: `Ask a running host of the platform mode why the tasks of a job wait: which group and host run it, for each step whether it may
start, how many workers would take a task, why the others don't, and about how long the wait is, as far as that is known. With --queue and --document,
or --queue and --step, it tells the same of a job that is not submitted, and how it would be refused now. Nothing is submitted or changed.

If the host that is asked does not run the job's group, the hosts that it names are asked.`,
	example: `  corianderdrift where --metrics 10.0.0.7:7001 5c0e7a21d94b36f8
  corianderdrift where --metrics 10.0.0.7:7001 --queue checks --document job.json
  corianderdrift where --metrics 10.0.0.7:7001 --queue checks --step count=4,cpu-milli=31000,accelerators=2,gang`,
	maxArgs: 1,
	flags: func(flags *pflag.FlagSet) {
		flags.String("metrics", os.Getenv("CORIANDERDRIFT_METRICS"),
			"metrics address of a running host, as in its line \"host started\" (environment: CORIANDERDRIFT_METRICS)")
		flags.String("queue", "", "name of the queue of a job that is not submitted")
		flags.String("document", "", "file with the job's document, as it would be submitted")
		flags.StringArray("step", nil, "a step in compact form, such as count=4,cpu-milli=31000,gang; may be repeated")
		flags.String("team", "", "name of the team that would submit the job")
		flags.Bool("json", false, "print the answers as JSON")
	},
	action: where,
}

const (
	// whereTimeout limits the question to one host.
	whereTimeout = 5 * time.Second
	// maxWhereURL leaves room for the headers within the 4,096 bytes that the metrics address takes.
	maxWhereURL = 3500
	// maxWhereBody bounds an answer that is read.
	maxWhereBody = 1 << 20
)

// unansweredHost is a host that was named as the holder of a group and did not answer.
type unansweredHost struct {
	Group   string `json:"group"`
	Host    string `json:"host"`
	Address string `json:"address"`
	Error   string `json:"error"`
}

// whereResult is what the asked hosts have told.
type whereResult struct {
	// Answer is the answer with the explanation, or that of the first host.
	Answer     agent.Where      `json:"answer"`
	Unanswered []unansweredHost `json:"unanswered,omitempty"`
}

func where(inv invocation) error {
	params, err := whereParams(inv)
	if err != nil {
		return err
	}
	address, _ := inv.flags.GetString("metrics")
	if address == "" {
		return &usageError{errors.New("--metrics: the metrics address of a running host is needed")}
	}
	result, err := askHosts(inv.ctx, address, params)
	if err != nil {
		return err
	}
	if asJSON, _ := inv.flags.GetBool("json"); asJSON {
		encoder := json.NewEncoder(inv.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	return printWhere(inv.out, &result)
}

// whereParams returns the parameters of the question.
func whereParams(inv invocation) (url.Values, error) {
	queue, _ := inv.flags.GetString("queue")
	file, _ := inv.flags.GetString("document")
	steps, _ := inv.flags.GetStringArray("step")
	team, _ := inv.flags.GetString("team")
	if len(inv.args) > 0 {
		if queue != "" || file != "" || len(steps) > 0 || team != "" {
			return nil, &usageError{errors.New("where: give the ID of a job, or --queue with --document or --step")}
		}
		return url.Values{agent.WhereJobParam: {inv.args[0]}}, nil
	}
	if queue == "" || (file == "") == (len(steps) == 0) {
		return nil, &usageError{errors.New("where: give the ID of a job, or --queue with either --document or --step")}
	}
	if file != "" {
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		decoded, err := platform.DecodeSteps(raw)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		for i := range decoded {
			steps = append(steps, decoded[i].Compact())
		}
	}
	for _, s := range steps {
		if _, err := graph.ParseStep(s); err != nil {
			return nil, &usageError{fmt.Errorf("--step: %w", err)}
		}
	}
	params := url.Values{agent.WhereQueue: {queue}, agent.WhereStepParam: steps}
	if team != "" {
		params.Set(agent.WhereTeam, team)
	}
	if len(params.Encode()) > maxWhereURL {
		return nil, &usageError{errors.New("where: the document has too many steps for one question; submit it and ask with its ID, or ask about some of its steps")}
	}
	return params, nil
}

// askHosts asks a host, and those that it names if it can't tell.
func askHosts(ctx context.Context, address string, params url.Values) (whereResult, error) {
	first, err := askWhere(ctx, address, params)
	if err != nil {
		return whereResult{}, err
	}
	result := whereResult{Answer: first}
	if first.Explanation != nil {
		return result, nil
	}
	asked := map[string]error{}
	for _, h := range first.Holders {
		to := h.Address.String()
		if _, again := asked[to]; !again {
			answer, err := askWhere(ctx, to, params)
			if err == nil && answer.Explanation != nil {
				// The refusal is that of the host that was asked first.
				answer.Refusal = first.Refusal
				return whereResult{Answer: answer}, nil
			}
			asked[to] = err
		}
		if err := asked[to]; err != nil {
			result.Unanswered = append(result.Unanswered, unansweredHost{h.Group, h.Host, to, err.Error()})
		}
	}
	return result, nil
}

// whereHostError is an answer of a host that is no explanation.
type whereHostError struct {
	Address string
	Status  int
	Detail  string
}

// Error names the host and what it answered.
func (e *whereHostError) Error() string {
	return fmt.Sprintf("%s: status %d: %s", e.Address, e.Status, e.Detail)
}

func askWhere(ctx context.Context, address string, params url.Values) (agent.Where, error) {
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	base := strings.TrimSuffix(address, "/")
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+agent.WherePath+"?"+params.Encode(), nil)
	if err != nil {
		return agent.Where{}, &usageError{err}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return agent.Where{}, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxWhereBody))
	if err != nil {
		return agent.Where{}, fmt.Errorf("reading the answer of %s: %w", address, err)
	}
	if resp.StatusCode != http.StatusOK {
		var refused agent.WhereError
		if json.Unmarshal(raw, &refused) != nil || refused.Error == "" {
			refused.Error = "it is no metrics address of a host that knows this command"
		}
		return agent.Where{}, &whereHostError{address, resp.StatusCode, refused.Error}
	}
	var answer agent.Where
	if err := json.Unmarshal(raw, &answer); err != nil {
		return agent.Where{}, fmt.Errorf("decoding the answer of %s: %w", address, err)
	}
	return answer, nil
}

// printWhere prints a result as text.
func printWhere(out io.Writer, result *whereResult) error {
	answer := &result.Answer
	if r := answer.Refusal; r != nil {
		fmt.Fprintf(out, "submitted now, a job would be refused: %d %s", r.Status, r.Reason)
		if r.RetryAfterSeconds > 0 {
			fmt.Fprintf(out, ", Retry-After %d s", r.RetryAfterSeconds)
		}
		fmt.Fprintln(out)
	}
	for _, u := range result.Unanswered {
		fmt.Fprintf(out, "group %s: its holder %s (%s) did not answer: %s\n", u.Group, u.Host, u.Address, u.Error)
	}
	for _, group := range answer.GroupsWithoutHolder {
		fmt.Fprintf(out, "group %s: no host is known to run it\n", group)
	}
	e := answer.Explanation
	if e == nil {
		_, err := fmt.Fprintln(out, "no host that answered has such an unfinished job")
		return err
	}
	subject := "document"
	if e.State != "" {
		subject = fmt.Sprintf("job %s, %s", e.Job, e.State)
	}
	fmt.Fprintf(out, "%s: queue %s, group %s, run by %s, %d workers\n", subject, e.Queue, answer.Group, answer.Host, e.Workers)
	if e.LeaseStale {
		fmt.Fprintf(out, "the group's lease is stale (%d ms): starts are sent only to workers with a connection from before\n", e.LeaseAgeMillis)
	}
	if !e.NextDue.IsZero() {
		fmt.Fprintf(out, "next occurrence due %s\n", e.NextDue.Format(time.RFC3339Nano))
	}
	rows := make([][]string, len(e.Steps))
	for i := range e.Steps {
		rows[i] = whereRow(&e.Steps[i])
	}
	header := []string{"step", "waiting", "start", "wait", "take", "others", "best", "urgency", "standing", "deadline"}
	if err := printTable(out, header, rows); err != nil {
		return err
	}
	if e.OmittedSteps > 0 {
		fmt.Fprintf(out, "%d more steps are left out\n", e.OmittedSteps)
	}
	return nil
}

func whereRow(s *cell.StepExplanation) []string {
	start, wait, best := "now", "-", "-"
	if !s.MayStart {
		start, wait = string(s.Reason), "unknown"
		if s.WaitKnown {
			wait = "about " + (time.Duration(s.WaitMillis) * time.Millisecond).String()
		}
	}
	if s.BestWorker != "" {
		best = s.BestWorker
	}
	var others []string
	for _, reason := range slices.Sorted(maps.Keys(s.Others)) {
		others = append(others, fmt.Sprintf("%s=%d", reason, s.Others[reason]))
	}
	if len(others) == 0 {
		others = []string{"-"}
	}
	return []string{
		fmt.Sprintf("%d.%d", s.Occurrence, s.Step), fmt.Sprintf("%d/%d", s.Waiting, s.Tasks), start, wait, strconv.Itoa(s.Takes),
		strings.Join(others, ","), best, s.Urgency, s.Standing, s.Deadline.UTC().Format("15:04:05.000"),
	}
}
