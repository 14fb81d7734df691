package cmds

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/pflag"
	"sigs.k8s.io/yaml"

	"github.com/corianderdrift/corianderdrift/catlog"
	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/front"
	"github.com/corianderdrift/corianderdrift/reason"
)

const maxEditAttempts = 5

var cmdCatalogue = command{
	name: "catalogue", short: "Read and change the catalogue",
	subs: []command{
		{name: "list", short: "List all documents", flags: clientFlags, action: catalogueList},
		{name: "get", args: "KIND/NAME", short: "Print a document as YAML", minArgs: 1, maxArgs: 1, flags: clientFlags, action: catalogueGet},
		{
			name: "put", args: "FILE", short: "Create or replace the documents of a file (- reads standard input)",
			minArgs: 1, maxArgs: 1, flags: editFlags, action: cataloguePut,
			long: `Create or replace the documents of a YAML or JSON file.

With --if-version, the edit is refused if the document has changed since that version; the error names the conflicting edit.
Without it, the edit applies to the current version.`,
			example: "  corianderdrift catalogue put owners.yaml --author asha",
		},
		{name: "delete", args: "KIND/NAME", short: "Delete a document", minArgs: 1, maxArgs: 1, flags: editFlags, action: catalogueDelete},
		{name: "history", short: "Show the latest edits", flags: clientFlags, action: catalogueHistory},
		{name: "diff", args: "FILE", short: "Show how the documents of a file differ from the current ones", minArgs: 1, maxArgs: 1, flags: clientFlags, action: catalogueDiff},
		{name: "check", args: "FILE", short: "Check a file locally, without calling a host", minArgs: 1, maxArgs: 1, action: catalogueCheck},
	},
}

func editFlags(flags *pflag.FlagSet) {
	clientFlags(flags)
	flags.Bool("dry-run", false, "check the edit without applying it")
	flags.String("author", os.Getenv("USER"), "author of the edit")
	flags.Int64("if-version", -1, "expected current version of the document; 0 means that it must not exist yet")
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

func readDocuments(name string) ([]entry.Document, error) {
	data, err := readFile(name)
	if err != nil {
		return nil, &usageError{err}
	}
	docs, err := entry.ParseFile(data)
	if err == nil && len(docs) == 0 {
		err = &entry.FieldError{Document: name, Field: "syntax", Problem: "contains no documents"}
	}
	return docs, err
}

func catalogueCheck(inv invocation) error {
	docs, err := readDocuments(inv.args[0])
	if err != nil {
		return err
	}
	for _, doc := range docs {
		fmt.Fprintln(inv.out, doc.Key, "ok")
	}
	return nil
}

func catalogueList(inv invocation) error {
	body, _, err := sendRequest(inv, request{method: http.MethodGet, path: "/v1/catalogue"})
	if err != nil {
		return err
	}
	var report front.CatalogueReport
	return printResponse(inv, body, &report, []string{"document", "version"}, func() [][]string {
		var rows [][]string
		for _, doc := range report.Documents {
			rows = append(rows, []string{doc.Key, fmt.Sprint(doc.Version)})
		}
		return rows
	})
}

func documentPath(key string) (string, error) {
	kind, name, ok := strings.Cut(key, "/")
	if !ok {
		return "", &usageError{fmt.Errorf("%q does not have the form KIND/NAME", key)}
	}
	return "/v1/catalogue/" + url.PathEscape(kind) + "/" + url.PathEscape(name), nil
}

func getDocument(inv invocation, key string) (front.DocumentReport, error) {
	path, err := documentPath(key)
	if err != nil {
		return front.DocumentReport{}, err
	}
	body, _, err := sendRequest(inv, request{method: http.MethodGet, path: path})
	if err != nil {
		return front.DocumentReport{}, err
	}
	var doc front.DocumentReport
	return doc, json.Unmarshal(body, &doc)
}

func catalogueGet(inv invocation) error {
	doc, err := getDocument(inv, inv.args[0])
	if err != nil {
		return err
	}
	output, _ := inv.flags.GetString("output")
	if output == "json" {
		return json.NewEncoder(inv.out).Encode(doc)
	}
	text, err := yaml.JSONToYAML(doc.Doc)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(inv.out, "# version %d\n%s", doc.Version, text)
	return err
}

func cataloguePut(inv invocation) error {
	docs, err := readDocuments(inv.args[0])
	if err != nil {
		return err
	}
	if ifVersion, _ := inv.flags.GetInt64("if-version"); ifVersion >= 0 && len(docs) > 1 {
		return &usageError{errors.New("--if-version can only be used with a file that contains one document")}
	}
	for _, doc := range docs {
		if err := edit(inv, doc.Key, doc.Raw); err != nil {
			return fmt.Errorf("%s: %w", doc.Key, err)
		}
	}
	return nil
}

func catalogueDelete(inv invocation) error { return edit(inv, inv.args[0], nil) }

// edit makes one edit. Without --if-version, it edits the current version and retries on conflicts under the same edit id.
func edit(inv invocation, key string, doc []byte) error {
	ifVersion, _ := inv.flags.GetInt64("if-version")
	id := uuid.NewString()
	for attempt := 1; ; attempt++ {
		version := uint64(max(0, ifVersion))
		if ifVersion < 0 {
			current, err := getDocument(inv, key)
			var respErr *responseError
			if err != nil && (!errors.As(err, &respErr) || respErr.problem.Reason != reason.NoSuchEntry) {
				return err
			}
			version = current.Version
		}
		change, err := sendEdit(inv, id, key, version, doc)
		var respErr *responseError
		if errors.As(err, &respErr) && respErr.problem.Reason == reason.EditConflict && ifVersion < 0 && attempt < maxEditAttempts {
			time.Sleep(time.Duration(attempt) * 200 * time.Millisecond)
			continue
		}
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(inv.out, "%s accepted as version %d\n", key, change.Version)
		return err
	}
}

func sendEdit(inv invocation, id, key string, version uint64, doc []byte) (catlog.Change, error) {
	path, err := documentPath(key)
	if err != nil {
		return catlog.Change{}, err
	}
	dryRun, _ := inv.flags.GetBool("dry-run")
	if dryRun {
		path += "?dry-run=true"
	}
	author, _ := inv.flags.GetString("author")
	method := http.MethodPut
	if doc == nil {
		method = http.MethodDelete
	}
	body, _, err := sendRequest(inv, request{method: method, path: path, body: doc, header: http.Header{
		"Edit-Id": {id}, "Edit-Author": {author}, "If-Match": {strconv.Quote(strconv.FormatUint(version, 10))},
	}})
	if err != nil {
		return catlog.Change{}, err
	}
	var change catlog.Change
	return change, json.Unmarshal(body, &change)
}

func catalogueHistory(inv invocation) error {
	body, _, err := sendRequest(inv, request{method: http.MethodGet, path: "/v1/history"})
	if err != nil {
		return err
	}
	var changes []catlog.Change
	return printResponse(inv, body, &changes, []string{"version", "time", "author", "document", "change"}, func() [][]string {
		var rows [][]string
		for _, c := range changes {
			rows = append(rows, []string{
				fmt.Sprint(c.Version), c.Time.Format(time.RFC3339), c.Author, c.Key, changeKind(c),
			})
		}
		return rows
	})
}

func changeKind(c catlog.Change) string {
	switch {
	case len(c.After) == 0:
		return "deleted"
	case len(c.Before) == 0:
		return "created"
	default:
		return "replaced"
	}
}

func catalogueDiff(inv invocation) error {
	docs, err := readDocuments(inv.args[0])
	if err != nil {
		return err
	}
	for _, doc := range docs {
		current, err := getDocument(inv, doc.Key)
		var respErr *responseError
		if err != nil && (!errors.As(err, &respErr) || respErr.problem.Reason != reason.NoSuchEntry) {
			return err
		}
		for _, line := range diffFields(current.Doc, doc.Raw) {
			fmt.Fprintf(inv.out, "%s: %s\n", doc.Key, line)
		}
	}
	return nil
}
