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

const mustNotBeNegative = "must not be negative"

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Document is one catalogue document in its stored form.
type Document struct {
	Key string
	// Version is the catalogue version that wrote the document.
	Version uint64
	// Raw is the document as JSON, including fields that only newer versions of the program know.
	Raw json.RawMessage
}

// ParseFile parses a file of one or more YAML or JSON documents, separated by lines that start with three dashes.
func ParseFile(data []byte) ([]Document, error) {
	var docs []Document
	for i, text := range splitDocuments(data) {
		raw, err := yaml.YAMLToJSONStrict(text)
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
	var texts [][]byte
	for text := range bytes.SplitSeq(append([]byte("\n"), data...), []byte("\n---")) {
		if isBlank(text) {
			continue
		}
		texts = append(texts, text)
	}
	return texts
}

func isBlank(text []byte) bool {
	for line := range bytes.SplitSeq(text, []byte("\n")) {
		line = bytes.TrimSpace(line)
		if len(line) > 0 && line[0] != '#' {
			return false
		}
	}
	return true
}

// Check validates one JSON document, rejecting unknown fields, and returns its key.
func Check(raw json.RawMessage) (string, error) {
	var header struct {
		Kind Kind   `json:"kind"`
		Name string `json:"name"`
	}
	if err := json.Unmarshal(raw, &header); err != nil {
		return "", &FieldError{Document: "document", Field: "syntax", Problem: oneLine(err)}
	}
	key := Key(header.Kind, header.Name)
	if !namePattern.MatchString(header.Name) || len(header.Name) > MaxNameLength {
		return "", &FieldError{Document: key, Field: "name", Problem: "must be 1 to 63 of a-z, 0-9 and -, with no - at its ends"}
	}
	switch header.Kind {
	case KindOwner:
		var owner Owner
		if err := decodeStrict(key, raw, &owner); err != nil {
			return "", err
		}
		return key, owner.check(key)
	case KindWork:
		var work Work
		if err := decodeStrict(key, raw, &work); err != nil {
			return "", err
		}
		return key, work.check(key)
	case KindWorker:
		var worker Worker
		return key, decodeStrict(key, raw, &worker)
	default:
		return "", &FieldError{Document: key, Field: "kind", Problem: "must be owner, work or worker"}
	}
}

func decodeStrict(key string, raw json.RawMessage, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil {
		return nil
	}
	message := strings.TrimPrefix(oneLine(err), "json: ")
	if field, ok := strings.CutPrefix(message, "unknown field "); ok {
		return &FieldError{Document: key, Field: strings.Trim(field, `"`), Problem: "unknown field"}
	}
	return &FieldError{Document: key, Field: "syntax", Problem: message}
}

type rule struct {
	violated bool
	field    string
	problem  string
}

func checkRules(key string, rules []rule) error {
	for _, r := range rules {
		if r.violated {
			return &FieldError{Document: key, Field: r.field, Problem: r.problem}
		}
	}
	return nil
}

func (o Owner) check(key string) error {
	return checkRules(key, []rule{
		{o.Weight < 0 || o.Weight > MaxWeight, "weight", "must be 1 to 1000"},
		{o.MaxQueued < 0, "max-queued", mustNotBeNegative},
		{o.TokenSHA256 != "" && !hashPattern.MatchString(o.TokenSHA256), "token-sha256", "must be 64 hexadecimal digits"},
		{o.Quota.CPUMilli < 0, "quota.cpu-milli", mustNotBeNegative},
		{o.Quota.Accelerators < 0, "quota.accelerators", mustNotBeNegative},
	})
}

func (w Work) check(key string) error {
	knownClass := w.Class == Request || w.Class == Service || w.Class == Batch || w.Class == Gang
	return checkRules(key, []rule{
		{!namePattern.MatchString(w.Owner), "owner", "must name an owner"},
		{!knownClass, "class", "must be request, service, batch or gang"},
		{w.Size.CPUMilli <= 0, "size.cpu-milli", "must be at least 1"},
		{w.Size.MemoryMiB <= 0, "size.memory-mib", "must be at least 1"},
		{w.Size.Accelerators < 0, "size.accelerators", mustNotBeNegative},
		{w.Size.Slots < 0, "size.slots", mustNotBeNegative},
		{w.Size.Connections < 0, "size.connections", mustNotBeNegative},
		{w.RunTime < 0, "run-time", mustNotBeNegative},
		{w.Timeout < 0 || w.Timeout.D() > MaxTimeout, "timeout", "must be at most 24h"},
		{w.MaxBodyBytes < 0 || w.MaxBodyBytes > MaxBodyBytes, "max-body-bytes", fmt.Sprintf("must be at most %d", MaxBodyBytes)},
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
		w.MaxBodyBytes = MaxBodyBytes
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

// Merge returns the edit plus those fields of the stored document that this version of the program does not know.
func Merge(stored, edit json.RawMessage) (json.RawMessage, error) {
	if len(stored) == 0 {
		return edit, nil
	}
	var current, merged map[string]json.RawMessage
	if err := json.Unmarshal(stored, &current); err != nil {
		return nil, fmt.Errorf("stored document: %w", err)
	}
	if err := json.Unmarshal(edit, &merged); err != nil {
		return nil, fmt.Errorf("edit: %w", err)
	}
	known := knownFields(merged)
	for field, value := range current {
		if _, inEdit := merged[field]; !inEdit && !known[field] {
			merged[field] = value
		}
	}
	return json.Marshal(merged)
}

func knownFields(doc map[string]json.RawMessage) map[string]bool {
	switch Kind(strings.Trim(string(doc["kind"]), `"`)) {
	case KindOwner:
		return ownerFields
	case KindWorker:
		return workerFields
	default:
		return workFields
	}
}
