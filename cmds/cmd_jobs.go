package cmds

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/pflag"

	"github.com/corianderdrift/corianderdrift/front"
	"github.com/corianderdrift/corianderdrift/jobs"
)

var cmdSubmit = command{
	name: "submit", args: "WORK [FILE]", short: "Run a request, or submit a job", least: 1, most: 2,
	long: `Run a request and print its answer, or submit a job and print its id.

FILE is the body (- is standard input). Work that may not repeat needs --key.`,
	example: "  echo slip | corianderdrift submit match-photo -\n  corianderdrift submit festival-batch rolls.csv --tasks 20",
	flags: func(flags *pflag.FlagSet) {
		clientFlags(flags)
		flags.String("key", "", "idempotency key")
		flags.String("params", "", "parameters that the worker reads")
		flags.Duration("timeout", 0, "deadline of the request, from its arrival")
		flags.Int("tasks", 0, "number of tasks of the job")
		flags.Bool("async", false, "submit work of the class request as a job")
	},
	action: submit,
}

func submit(in call) error {
	var body []byte
	if len(in.args) > 1 {
		data, err := readFile(in.args[1])
		if err != nil {
			return &usageError{err}
		}
		body = data
	}
	header := http.Header{}
	setText := func(flag, name string) {
		if text, _ := in.flags.GetString(flag); text != "" {
			header.Set(name, text)
		}
	}
	setText("key", "Idempotency-Key")
	setText("params", "Work-Params")
	if timeout, _ := in.flags.GetDuration("timeout"); timeout > 0 {
		header.Set("Request-Timeout", timeout.String())
	}
	if tasks, _ := in.flags.GetInt("tasks"); tasks > 0 {
		header.Set("Work-Tasks", strconv.Itoa(tasks))
	}
	if async, _ := in.flags.GetBool("async"); async {
		header.Set("Prefer", "respond-async")
	}
	answer, got, err := ask(in, request{method: http.MethodPost, path: "/v1/run/" + in.args[0], header: header, body: body})
	if err != nil {
		return err
	}
	if got.Get("Location") == "" {
		_, err = in.out.Write(answer)
		return err
	}
	return showJob(in, answer)
}

func showJob(in call, body []byte) error {
	var status front.JobStatus
	header := []string{"job", "work", "state", "tasks", "done", "failed", "created", "why"}
	return show(in, body, &status, header, func() [][]string {
		total := 0
		for _, n := range status.Counts {
			total += n
		}
		why := strings.TrimSpace(string(status.Reason) + " " + status.Detail)
		if status.WaitsFor != "" {
			why = "waits: " + string(status.WaitsFor)
		}
		return [][]string{{
			status.ID, status.Work, string(status.State), strconv.Itoa(total),
			strconv.Itoa(status.Counts[jobs.TaskDone]), strconv.Itoa(status.Counts[jobs.TaskFailed]),
			status.Created.Format(time.RFC3339), why,
		}}
	})
}

var cmdStatus = command{
	name: "status", args: "JOB", short: "Show where a job stands and why it waits", least: 1, most: 1,
	flags: func(flags *pflag.FlagSet) {
		clientFlags(flags)
		flags.Duration("wait", 0, "wait so long for the job's end")
	},
	action: func(in call) error {
		wait, _ := in.flags.GetDuration("wait")
		until := time.Now().Add(wait)
		for {
			body, _, err := ask(in, request{method: http.MethodGet, path: "/v1/jobs/" + in.args[0]})
			if err != nil {
				return err
			}
			var status front.JobStatus
			if err := json.Unmarshal(body, &status); err != nil {
				return fmt.Errorf("answer: %w", err)
			}
			if status.State.Over() || time.Now().After(until) {
				return showJob(in, body)
			}
			const look = 200 * time.Millisecond
			select {
			case <-time.After(look):
			case <-in.ctx.Done():
				return in.ctx.Err()
			}
		}
	},
}

var cmdCancel = command{
	name: "cancel", args: "JOB", short: "Cancel a job", least: 1, most: 1, flags: clientFlags,
	action: func(in call) error {
		body, _, err := ask(in, request{method: http.MethodDelete, path: "/v1/jobs/" + in.args[0]})
		if err != nil {
			return err
		}
		return showJob(in, body)
	},
}

var cmdResult = command{
	name: "result", args: "JOB [TASK]", short: "Print the answer of a task of a job", least: 1, most: 2, flags: clientFlags,
	action: func(in call) error {
		task := "0"
		if len(in.args) > 1 {
			task = in.args[1]
		}
		body, _, err := ask(in, request{method: http.MethodGet, path: "/v1/jobs/" + in.args[0] + "/tasks/" + task + "/result"})
		if err != nil {
			return err
		}
		_, err = in.out.Write(body)
		return err
	},
}
