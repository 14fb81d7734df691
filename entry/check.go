package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
	"time"

	"sigs.k8s.io/yaml"
)

const notNegative = "must not be negative"

var (
	nameForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	hashForm = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Document is one catalogue document in its stored form.
type Document struct {
	Key string
	// Version is the catalogue version that wrote the document.
	Version uint64
	// Raw is the document as JSON, with the fields that only newer programs know.
	Raw json.RawMessage
}

// ParseFile reads a file of one or more YAML or JSON documents, separated by lines of three dashes.
func ParseFile(data []byte) ([]Document, error) {
	var docs []Document
	for i, part := range splitDocuments(data) {
		raw, err := yaml.YAMLToJSONStrict(part)
		if err != nil {
			return nil, &FieldError{Document: fmt.Sprintf("document %d", i+1), Field: "syntax", Problem: oneLine(err)}
		}
		key, err := Check(raw)
		if err != nil {
			return nil, err
		}
		docs = append(docs, Document{Key: key, Raw: raw})
	}
	return docs, nil
}

func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }

func splitDocuments(data []byte) [][]byte {
	var parts [][]byte
	for part := range bytes.SplitSeq(append([]byte("\n"), data...), []byte("\n---")) {
		if blank(part) {
			continue
		}
		parts = append(parts, part)
	}
	return parts
}

func blank(part []byte) bool {
	for line := range bytes.SplitSeq(part, []byte("\n")) {
		line = bytes.TrimSpace(line)
		if len(line) > 0 && line[0] != '#' {
			return false
		}
	}
	return true
}

// Check reads one JSON document strictly and returns its key.
func Check(raw json.RawMessage) (string, error) {
	var head struct {
		Kind Kind   `json:"kind"`
		Name string `json:"name"`
	}
	if err := json.Unmarshal(raw, &head); err != nil {
		return "", &FieldError{Document: "document", Field: "syntax", Problem: oneLine(err)}
	}
	key := Key(head.Kind, head.Name)
	if !nameForm.MatchString(head.Name) || len(head.Name) > MaxNameLength {
		return "", &FieldError{Document: key, Field: "name", Problem: "must be 1 to 63 of a-z, 0-9 and -, with no - at its ends"}
	}
	switch head.Kind {
	case KindOwner:
		var owner Owner
		if err := strict(key, raw, &owner); err != nil {
			return "", err
		}
		return key, owner.check(key)
	case KindWork:
		var work Work
		if err := strict(key, raw, &work); err != nil {
			return "", err
		}
		return key, work.check(key)
	case KindWorker:
		var mark Mark
		return key, strict(key, raw, &mark)
	default:
		return "", &FieldError{Document: key, Field: "kind", Problem: "must be owner, work or worker"}
	}
}

func strict(key string, raw json.RawMessage, out any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(out)
	if err == nil {
		return nil
	}
	text := strings.TrimPrefix(oneLine(err), "json: ")
	if field, ok := strings.CutPrefix(text, "unknown field "); ok {
		return &FieldError{Document: key, Field: strings.Trim(field, `"`), Problem: "unknown field"}
	}
	return &FieldError{Document: key, Field: "syntax", Problem: text}
}

type rule struct {
	bad     bool
	field   string
	problem string
}

func apply(key string, rules []rule) error {
	for _, r := range rules {
		if r.bad {
			return &FieldError{Document: key, Field: r.field, Problem: r.problem}
		}
	}
	return nil
}

func (o Owner) check(key string) error {
	return apply(key, []rule{
		{o.Weight < 0 || o.Weight > MaxWeight, "weight", "must be 1 to 1000"},
		{o.MaxQueued < 0, "max-queued", notNegative},
		{o.TokenSHA256 != "" && !hashForm.MatchString(o.TokenSHA256), "token-sha256", "must be 64 hexadecimal digits"},
		{o.Quota.CPUMilli < 0, "quota.cpu-milli", notNegative},
		{o.Quota.Accelerators < 0, "quota.accelerators", notNegative},
	})
}

func (w Work) check(key string) error {
	known := w.Class == Request || w.Class == Service || w.Class == Batch || w.Class == Gang
	return apply(key, []rule{
		{!nameForm.MatchString(w.Owner), "owner", "must name an owner"},
		{!known, "class", "must be request, service, batch or gang"},
		{w.Size.CPUMilli <= 0, "size.cpu-milli", "must be at least 1"},
		{w.Size.MemoryMiB <= 0, "size.memory-mib", "must be at least 1"},
		{w.Size.Accelerators < 0, "size.accelerators", notNegative},
		{w.Size.Slots < 0, "size.slots", notNegative},
		{w.Size.Connections < 0, "size.connections", notNegative},
		{w.RunTime < 0, "run-time", notNegative},
		{w.Timeout < 0 || w.Timeout.D() > MaxTimeout, "timeout", "must be at most 24h"},
		{w.MaxBodyBytes < 0 || w.MaxBodyBytes > MaxBody, "max-body-bytes", fmt.Sprintf("must be at most %d", MaxBody)},
		{w.Attempts < 0 || w.Attempts > MaxAttempts, "attempts", "must be 1 to 20"},
		{w.Tasks < 0 || w.Tasks > MaxTasks, "tasks", "must be 1 to 1000"},
		{w.Class == Request && w.Tasks > 1, "tasks", "a request has one task"},
		{w.Class == Request && w.Checkpointable && !w.Repeatable, "checkpointable", "a request that is checkpointable must be repeatable"},
	})
}

func (w Work) withDefaults() Work {
	w.Size.Slots = max(1, w.Size.Slots)
	if w.Class == Request {
		w.Size.Connections = max(1, w.Size.Connections)
	}
	if w.Timeout == 0 {
		w.Timeout = Duration(DefaultTimeout)
	}
	if w.MaxBodyBytes == 0 {
		w.MaxBodyBytes = MaxBody
	}
	if w.Attempts == 0 {
		w.Attempts = DefaultAttempts
	}
	w.Tasks = max(1, w.Tasks)
	if w.RunTime == 0 {
		w.RunTime = Duration(100 * time.Millisecond)
	}
	return w
}

func (o Owner) withDefaults() Owner {
	o.Weight = max(1, o.Weight)
	if o.MaxQueued == 0 {
		o.MaxQueued = DefaultMaxQueued
	}
	return o
}

// Merge returns the edit with those fields of the stored document that this program does not know.
func Merge(stored, edit json.RawMessage) (json.RawMessage, error) {
	if len(stored) == 0 {
		return edit, nil
	}
	var old, fresh map[string]json.RawMessage
	if err := json.Unmarshal(stored, &old); err != nil {
		return nil, fmt.Errorf("stored document: %w", err)
	}
	if err := json.Unmarshal(edit, &fresh); err != nil {
		return nil, fmt.Errorf("edit: %w", err)
	}
	known := knownFields(fresh)
	for field, value := range old {
		if _, named := fresh[field]; !named && !known[field] {
			fresh[field] = value
		}
	}
	return json.Marshal(fresh)
}

func knownFields(doc map[string]json.RawMessage) map[string]bool {
	switch Kind(strings.Trim(string(doc["kind"]), `"`)) {
	case KindOwner:
		return ownerFields
	case KindWorker:
		return markFields
	default:
		return workFields
	}
}
