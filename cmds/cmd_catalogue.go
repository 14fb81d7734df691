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

const editTries = 5

var cmdCatalogue = command{
	name: "catalogue", short: "Read and change the catalogue",
	subs: []command{
		{name: "list", short: "List all documents", flags: clientFlags, action: catalogueList},
		{name: "get", args: "KIND/NAME", short: "Print a document as YAML", least: 1, most: 1, flags: clientFlags, action: catalogueGet},
		{
			name: "put", args: "FILE", short: "Create or replace the documents of a file (- is standard input)",
			least: 1, most: 1, flags: editFlags, action: cataloguePut,
			long: `Create or replace the documents of a YAML or JSON file.

The edit is refused, with what it raced with, if somebody changed a document since --if-version;
without --if-version it is made on the version that is in force now.`,
			example: "  corianderdrift catalogue put owners.yaml --author asha",
		},
		{name: "delete", args: "KIND/NAME", short: "Delete a document", least: 1, most: 1, flags: editFlags, action: catalogueDelete},
		{name: "history", short: "Show the latest edits", flags: clientFlags, action: catalogueHistory},
		{name: "diff", args: "FILE", short: "Show which documents of a file differ from what is in force", least: 1, most: 1, flags: clientFlags, action: catalogueDiff},
		{name: "check", args: "FILE", short: "Check a file without asking any host", least: 1, most: 1, action: catalogueCheck},
	},
}

func editFlags(flags *pflag.FlagSet) {
	clientFlags(flags)
	flags.Bool("dry-run", false, "check the edit and change nothing")
	flags.String("author", os.Getenv("USER"), "who makes the edit")
	flags.Int64("if-version", -1, "version of the document that the edit was made from; 0 is a new document")
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
		err = &entry.FieldError{Document: name, Field: "syntax", Problem: "holds no document"}
	}
	return docs, err
}

func catalogueCheck(in call) error {
	docs, err := readDocuments(in.args[0])
	if err != nil {
		return err
	}
	for _, doc := range docs {
		fmt.Fprintln(in.out, doc.Key, "ok")
	}
	return nil
}

func catalogueList(in call) error {
	body, _, err := ask(in, request{method: http.MethodGet, path: "/v1/catalogue"})
	if err != nil {
		return err
	}
	var report front.CatalogueReport
	return show(in, body, &report, []string{"document", "version"}, func() [][]string {
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
		return "", &usageError{fmt.Errorf("%q is not KIND/NAME", key)}
	}
	return "/v1/catalogue/" + url.PathEscape(kind) + "/" + url.PathEscape(name), nil
}

func getDocument(in call, key string) (front.DocumentReport, error) {
	path, err := documentPath(key)
	if err != nil {
		return front.DocumentReport{}, err
	}
	body, _, err := ask(in, request{method: http.MethodGet, path: path})
	if err != nil {
		return front.DocumentReport{}, err
	}
	var doc front.DocumentReport
	return doc, json.Unmarshal(body, &doc)
}

func catalogueGet(in call) error {
	doc, err := getDocument(in, in.args[0])
	if err != nil {
		return err
	}
	output, _ := in.flags.GetString("output")
	if output == "json" {
		return json.NewEncoder(in.out).Encode(doc)
	}
	text, err := yaml.JSONToYAML(doc.Doc)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(in.out, "# version %d\n%s", doc.Version, text)
	return err
}

func cataloguePut(in call) error {
	docs, err := readDocuments(in.args[0])
	if err != nil {
		return err
	}
	if given, _ := in.flags.GetInt64("if-version"); given >= 0 && len(docs) > 1 {
		return &usageError{errors.New("if-version goes with a file of one document")}
	}
	for _, doc := range docs {
		if err := edit(in, doc.Key, doc.Raw); err != nil {
			return fmt.Errorf("%s: %w", doc.Key, err)
		}
	}
	return nil
}

func catalogueDelete(in call) error { return edit(in, in.args[0], nil) }

// edit sends one edit; without a version from the user it follows other edits, under one id.
func edit(in call, key string, doc []byte) error {
	given, _ := in.flags.GetInt64("if-version")
	id := uuid.NewString()
	for try := 1; ; try++ {
		version := uint64(max(0, given))
		if given < 0 {
			current, err := getDocument(in, key)
			var answer *answerError
			if err != nil && (!errors.As(err, &answer) || answer.problem.Reason != reason.NoSuchEntry) {
				return err
			}
			version = current.Version
		}
		change, err := sendEdit(in, id, key, version, doc)
		var answer *answerError
		if errors.As(err, &answer) && answer.problem.Reason == reason.EditConflict && given < 0 && try < editTries {
			time.Sleep(time.Duration(try) * 200 * time.Millisecond)
			continue
		}
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(in.out, "%s accepted as version %d\n", key, change.Version)
		return err
	}
}

func sendEdit(in call, id, key string, version uint64, doc []byte) (catlog.Change, error) {
	path, err := documentPath(key)
	if err != nil {
		return catlog.Change{}, err
	}
	dryRun, _ := in.flags.GetBool("dry-run")
	if dryRun {
		path += "?dry-run=true"
	}
	author, _ := in.flags.GetString("author")
	method := http.MethodPut
	if doc == nil {
		method = http.MethodDelete
	}
	body, _, err := ask(in, request{method: method, path: path, body: doc, header: http.Header{
		"Edit-Id": {id}, "Edit-Author": {author}, "If-Match": {strconv.Quote(strconv.FormatUint(version, 10))},
	}})
	if err != nil {
		return catlog.Change{}, err
	}
	var change catlog.Change
	return change, json.Unmarshal(body, &change)
}

func catalogueHistory(in call) error {
	body, _, err := ask(in, request{method: http.MethodGet, path: "/v1/history"})
	if err != nil {
		return err
	}
	var changes []catlog.Change
	return show(in, body, &changes, []string{"version", "time", "author", "document", "change"}, func() [][]string {
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

func catalogueDiff(in call) error {
	docs, err := readDocuments(in.args[0])
	if err != nil {
		return err
	}
	for _, doc := range docs {
		current, err := getDocument(in, doc.Key)
		var answer *answerError
		if err != nil && (!errors.As(err, &answer) || answer.problem.Reason != reason.NoSuchEntry) {
			return err
		}
		for _, line := range diffFields(current.Doc, doc.Raw) {
			fmt.Fprintf(in.out, "%s: %s\n", doc.Key, line)
		}
	}
	return nil
}
