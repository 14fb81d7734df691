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

// responseError is an error response of an entry host.
type responseError struct {
	problem front.Problem
}

// Error returns the outcome, reason and detail of the response.
func (e *responseError) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.problem.Outcome, e.problem.Reason, e.problem.Detail)
}

func (e *responseError) exitCode() int {
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

// clientFlags adds the flags of commands that call an entry host.
func clientFlags(flags *pflag.FlagSet) {
	host := os.Getenv("CORIANDERDRIFT_HOST")
	if host == "" {
		host = "http://127.0.0.1:8080"
	}
	flags.String("host", host, "URL of an entry host (environment: CORIANDERDRIFT_HOST)")
	flags.String("token", "", "token of an owner or of the operators (environment: CORIANDERDRIFT_TOKEN)")
	flags.StringP("output", "o", "table", "output format: table or json")
}

type request struct {
	method string
	path   string
	header http.Header
	body   []byte
}

// sendRequest sends a request to the entry host given by the flags and returns the body and header of the response.
func sendRequest(inv invocation, r request) ([]byte, http.Header, error) {
	host, _ := inv.flags.GetString("host")
	req, err := http.NewRequestWithContext(inv.ctx, r.method, strings.TrimSuffix(host, "/")+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, nil, &usageError{err}
	}
	for name, values := range r.header {
		req.Header[name] = values
	}
	token, _ := inv.flags.GetString("token")
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
		return nil, nil, fmt.Errorf("reading the response: %w", err)
	}
	if resp.StatusCode/100 != 2 {
		return nil, nil, errorFromResponse(resp.StatusCode, body)
	}
	return body, resp.Header, nil
}

func errorFromResponse(status int, body []byte) error {
	var problem front.Problem
	if err := json.Unmarshal(body, &problem); err != nil || problem.Reason == "" {
		return fmt.Errorf("status %d: %s", status, strings.TrimSpace(string(body)))
	}
	return &responseError{problem}
}

// printResponse prints body as JSON, or decodes it into value and prints the rows made from value as a table.
func printResponse(inv invocation, body []byte, value any, header []string, rows func() [][]string) error {
	output, _ := inv.flags.GetString("output")
	switch output {
	case "json":
		_, err := inv.out.Write(body)
		return err
	case "table":
	default:
		return &usageError{fmt.Errorf("--output: %q is not supported; use table or json", output)}
	}
	if err := json.Unmarshal(body, value); err != nil {
		return fmt.Errorf("decoding the response: %w", err)
	}
	return printTable(inv.out, header, rows())
}

func printTable(out io.Writer, header []string, rows [][]string) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(header, "\t")))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}
