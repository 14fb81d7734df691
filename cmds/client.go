package cmds

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/pflag"

	"github.com/corianderdrift/corianderdrift/front"
	"github.com/corianderdrift/corianderdrift/reason"
)

const clientTimeout = 30 * time.Second

// answerError is an error answer of an entry host.
type answerError struct {
	problem front.Problem
}

// Error names outcome, reason and detail.
func (e *answerError) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.problem.Outcome, e.problem.Reason, e.problem.Detail)
}

func (e *answerError) exitCode() int {
	switch {
	case e.problem.Reason == reason.EditConflict:
		return exitConflict
	case e.problem.Outcome == reason.NotRun:
		return exitRefused
	case e.problem.Outcome == reason.Unknown:
		return exitUnknown
	default:
		return exitFailed
	}
}

// clientFlags adds the flags of commands that ask an entry host.
func clientFlags(flags *pflag.FlagSet) {
	host := os.Getenv("CORIANDERDRIFT_HOST")
	if host == "" {
		host = "http://127.0.0.1:8080"
	}
	flags.String("host", host, "URL of an entry host (environment: CORIANDERDRIFT_HOST)")
	flags.String("token", "", "owner's or operators' token (environment: CORIANDERDRIFT_TOKEN)")
	flags.StringP("output", "o", "table", "table or json")
}

type request struct {
	method string
	path   string
	header http.Header
	body   []byte
}

// ask sends a request to the entry host that the flags name and returns the whole answer.
func ask(in call, r request) ([]byte, http.Header, error) {
	host, _ := in.flags.GetString("host")
	req, err := http.NewRequestWithContext(in.ctx, r.method, strings.TrimSuffix(host, "/")+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, nil, &usageError{err}
	}
	for name, values := range r.header {
		req.Header[name] = values
	}
	token, _ := in.flags.GetString("token")
	if token == "" {
		token = os.Getenv("CORIANDERDRIFT_TOKEN")
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	client := &http.Client{Timeout: clientTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, nil, fmt.Errorf("answer: %w", err)
	}
	if resp.StatusCode/100 != 2 {
		return nil, nil, problemOf(resp.StatusCode, body)
	}
	return body, resp.Header, nil
}

func problemOf(status int, body []byte) error {
	var problem front.Problem
	if err := json.Unmarshal(body, &problem); err != nil || problem.Reason == "" {
		return fmt.Errorf("status %d: %s", status, strings.TrimSpace(string(body)))
	}
	return &answerError{problem}
}

// show prints value as JSON, or as a table of rows under a header.
func show(in call, body []byte, value any, header []string, rows func() [][]string) error {
	output, _ := in.flags.GetString("output")
	switch output {
	case "json":
		_, err := in.out.Write(body)
		return err
	case "table":
	default:
		return &usageError{fmt.Errorf("output: %q is not allowed: must be table or json", output)}
	}
	if err := json.Unmarshal(body, value); err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	return table(in.out, header, rows())
}

func table(out io.Writer, header []string, rows [][]string) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(header, "\t")))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}
