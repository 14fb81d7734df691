package cmds

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
)

// diffFields lists the fields in which two JSON documents differ.
func diffFields(before, after json.RawMessage) []string {
	var old, fresh map[string]json.RawMessage
	_ = json.Unmarshal(before, &old)
	_ = json.Unmarshal(after, &fresh)
	names := map[string]bool{}
	for name := range old {
		names[name] = true
	}
	for name := range fresh {
		names[name] = true
	}
	var lines []string
	for name := range names {
		if !bytes.Equal(compact(old[name]), compact(fresh[name])) {
			lines = append(lines, fmt.Sprintf("%s: %s -> %s", name, textOf(old[name]), textOf(fresh[name])))
		}
	}
	sort.Strings(lines)
	return lines
}

func compact(raw json.RawMessage) []byte {
	var value any
	if json.Unmarshal(raw, &value) != nil {
		return raw
	}
	// Maps are written with sorted keys, so the order in which a file names fields does not count.
	encoded, err := json.Marshal(value)
	if err != nil {
		return raw
	}
	return encoded
}

func textOf(raw json.RawMessage) string {
	if len(raw) == 0 {
		return "none"
	}
	return string(compact(raw))
}
