package cmds

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
)

// diffFields lists the fields in which two JSON documents differ.
func diffFields(before, after json.RawMessage) []string {
	var oldFields, newFields map[string]json.RawMessage
	_ = json.Unmarshal(before, &oldFields)
	_ = json.Unmarshal(after, &newFields)
	names := map[string]bool{}
	for name := range oldFields {
		names[name] = true
	}
	for name := range newFields {
		names[name] = true
	}
	var lines []string
	for name := range names {
		if !bytes.Equal(canonicalJSON(oldFields[name]), canonicalJSON(newFields[name])) {
			lines = append(lines, fmt.Sprintf("%s: %s -> %s", name, formatField(oldFields[name]), formatField(newFields[name])))
		}
	}
	sort.Strings(lines)
	return lines
}

func canonicalJSON(raw json.RawMessage) []byte {
	var value any
	if json.Unmarshal(raw, &value) != nil {
		return raw
	}
	// Marshal sorts the keys of maps, so the order of the fields in a file makes no difference.
	encoded, err := json.Marshal(value)
	if err != nil {
		return raw
	}
	return encoded
}

func formatField(raw json.RawMessage) string {
	if len(raw) == 0 {
		return "none"
	}
	return string(canonicalJSON(raw))
}
