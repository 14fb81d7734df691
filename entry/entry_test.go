package entry_test

import (
	"encoding/json"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/local"
)

func TestInvalidDocumentErrorNamesField(t *testing.T) {
	work := `"kind":"work","name":"w","owner":"o","class":"request","size":{"cpu-milli":1,"memory-mib":1}`
	tests := []struct {
		name, doc, field string
	}{
		{"no kind", `{"name":"a"}`, "kind"},
		{"bad name", `{"kind":"owner","name":"A B"}`, "name"},
		{"unknown field", `{"kind":"owner","name":"a","colour":"red"}`, "colour"},
		{"weight", `{"kind":"owner","name":"a","weight":-1}`, "weight"},
		{"token", `{"kind":"owner","name":"a","token-sha256":"abc"}`, "token-sha256"},
		{"class", `{"kind":"work","name":"w","owner":"o","class":"quick"}`, "class"},
		{"no size", `{"kind":"work","name":"w","owner":"o","class":"batch"}`, "size.cpu-milli"},
		{"duration", `{` + work + `,"timeout":5}`, "syntax"},
		{"tasks of a request", `{` + work + `,"tasks":2}`, "tasks"},
		{"attempts", `{` + work + `,"attempts":99}`, "attempts"},
		{"body", `{` + work + `,"max-body-bytes":99999999}`, "max-body-bytes"},
		{"not YAML", "a: [", "syntax"},
		{"duplicate field", "kind: owner\nname: a\nname: b\n", "syntax"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := entry.ParseFile([]byte(test.doc))
			var fieldErr *entry.FieldError
			c.Assert(errors.As(err, &fieldErr), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(fieldErr.Field, qt.Equals, test.field)
		})
	}
}

func TestExampleCatalogueIsValid(t *testing.T) {
	c := qt.New(t)
	docs, err := entry.ParseFile(local.Catalogue)
	c.Assert(err, qt.IsNil)
	catalogue, err := entry.NewCatalogue(1, docs)
	c.Assert(err, qt.IsNil)
	for _, doc := range docs {
		c.Check(catalogue.CheckEdit(doc.Key, doc.Raw), qt.IsNil)
	}
	work, ok := catalogue.Work("balance-check")
	c.Assert(ok, qt.IsTrue)
	c.Check(work.Size.Slots, qt.Equals, int64(1))
	c.Check(work.Attempts, qt.Equals, entry.DefaultAttempts)
}

func TestReferencesAreChecked(t *testing.T) {
	c := qt.New(t)
	docs, err := entry.ParseFile(local.Catalogue)
	c.Assert(err, qt.IsNil)
	catalogue, err := entry.NewCatalogue(1, docs)
	c.Assert(err, qt.IsNil)
	c.Check(catalogue.CheckEdit("owner/crew-desk", nil), qt.ErrorMatches, ".*still names this owner")
	c.Check(catalogue.CheckEdit("owner/nobody", nil), qt.ErrorMatches, ".*no such document")
	c.Check(catalogue.CheckEdit("work/x", json.RawMessage(`{"owner":"nobody"}`)), qt.ErrorMatches, `.*there is no owner "nobody"`)
	next, err := catalogue.With(entry.Document{Key: "work/book-seat", Version: 2})
	c.Assert(err, qt.IsNil)
	c.Check(next.CheckEdit("owner/crew-desk", nil), qt.IsNil)
	_, ok := catalogue.Work("book-seat")
	c.Check(ok, qt.IsTrue, qt.Commentf("With changed the older version"))
}

func TestMergeKeepsOnlyUnknownFields(t *testing.T) {
	c := qt.New(t)
	stored := json.RawMessage(`{"kind":"owner","name":"a","weight":3,"colour":"blue"}`)
	merged, err := entry.Merge(stored, json.RawMessage(`{"kind":"owner","name":"a","max-queued":5}`))
	c.Assert(err, qt.IsNil)
	c.Check(string(merged), qt.JSONEquals, map[string]any{"kind": "owner", "name": "a", "max-queued": 5, "colour": "blue"})
}

func FuzzParseFile(f *testing.F) {
	f.Add(local.Catalogue)
	f.Add([]byte("kind: owner\nname: a\n---\nkind: work\n"))
	f.Add([]byte(`{"kind":"worker","name":"w","drain":true}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		docs, err := entry.ParseFile(data)
		if err != nil {
			return
		}
		// Accepted documents must form a catalogue.
		if _, err := entry.NewCatalogue(1, docs); err != nil {
			t.Fatalf("ParseFile accepts documents that NewCatalogue rejects: %v", err)
		}
	})
}
