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
	name: "submit", args: "WORK [FILE]", short: "Run a request, or submit a job", minArgs: 1, maxArgs: 2,
	long: `Run a request and print its answer, or submit a job and print its id.

FILE is the request body (- reads standard input). Work that is not repeatable needs --key.`,
	example: "  echo slip | corianderdrift submit match-photo -\n  corianderdrift submit festival-batch rolls.csv --tasks 20",
	flags: func(flags *pflag.FlagSet) {
		clientFlags(flags)
		flags.String("key", "", "idempotency key")
		flags.String("params", "", "parameters for the worker")
		flags.Duration("timeout", 0, "deadline of the request, counted from its arrival")
		flags.Int("tasks", 0, "number of tasks of the job")
		flags.Bool("async", false, "submit work of class request as a job")
	},
	action: submit,
}

func submit(inv invocation) error {
	var body []byte
	if len(inv.args) > 1 {
		data, err := readFile(inv.args[1])
		if err != nil {
			return &usageError{err}
		}
		body = data
	}
	header := http.Header{}
	setHeader := func(flag, name string) {
		if text, _ := inv.flags.GetString(flag); text != "" {
			header.Set(name, text)
		}
	}
	setHeader("key", "Idempotency-Key")
	setHeader("params", "Work-Params")
	if timeout, _ := inv.flags.GetDuration("timeout"); timeout > 0 {
		header.Set("Request-Timeout", timeout.String())
	}
	if tasks, _ := inv.flags.GetInt("tasks"); tasks > 0 {
		header.Set("Work-Tasks", strconv.Itoa(tasks))
	}
	if async, _ := inv.flags.GetBool("async"); async {
		header.Set("Prefer", "respond-async")
	}
	respBody, respHeader, err := sendRequest(inv, request{method: http.MethodPost, path: "/v1/run/" + inv.args[0], header: header, body: body})
	if err != nil {
		return err
	}
	if respHeader.Get("Location") == "" {
		_, err = inv.out.Write(respBody)
		return err
	}
	return printJob(inv, respBody)
}

func printJob(inv invocation, body []byte) error {
	var status front.JobStatus
	header := []string{"job", "work", "state", "tasks", "done", "failed", "created", "why"}
	return printResponse(inv, body, &status, header, func() [][]string {
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
	name: "status", args: "JOB", short: "Show the state of a job and why it waits", minArgs: 1, maxArgs: 1,
	flags: func(flags *pflag.FlagSet) {
		clientFlags(flags)
		flags.Duration("wait", 0, "maximum time to wait for the job to end")
	},
	action: func(inv invocation) error {
		wait, _ := inv.flags.GetDuration("wait")
		deadline := time.Now().Add(wait)
		for {
			body, _, err := sendRequest(inv, request{method: http.MethodGet, path: "/v1/jobs/" + inv.args[0]})
			if err != nil {
				return err
			}
			var status front.JobStatus
			if err := json.Unmarshal(body, &status); err != nil {
				return fmt.Errorf("decoding the response: %w", err)
			}
			if status.State.Terminal() || time.Now().After(deadline) {
				return printJob(inv, body)
			}
			const pollInterval = 200 * time.Millisecond
			select {
			case <-time.After(pollInterval):
			case <-inv.ctx.Done():
				return inv.ctx.Err()
			}
		}
	},
}

var cmdCancel = command{
	name: "cancel", args: "JOB", short: "Cancel a job", minArgs: 1, maxArgs: 1, flags: clientFlags,
	action: func(inv invocation) error {
		body, _, err := sendRequest(inv, request{method: http.MethodDelete, path: "/v1/jobs/" + inv.args[0]})
		if err != nil {
			return err
		}
		return printJob(inv, body)
	},
}

var cmdResult = command{
	name: "result", args: "JOB [TASK]", short: "Print the result of a task of a job", minArgs: 1, maxArgs: 2, flags: clientFlags,
	action: func(inv invocation) error {
		task := "0"
		if len(inv.args) > 1 {
			task = inv.args[1]
		}
		body, _, err := sendRequest(inv, request{method: http.MethodGet, path: "/v1/jobs/" + inv.args[0] + "/tasks/" + task + "/result"})
		if err != nil {
			return err
		}
		_, err = inv.out.Write(body)
		return err
	},
}
