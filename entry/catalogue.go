package entry

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Catalogue is one accepted version of all documents; it never changes.
type Catalogue struct {
	version uint64
	docs    map[string]Document
	owners  map[string]Owner
	works   map[string]Work
	marks   map[string]Mark
}

// NewCatalogue reads the documents of one version; what this program does not know in them is kept as it is.
func NewCatalogue(version uint64, docs []Document) (*Catalogue, error) {
	c := &Catalogue{
		version: version,
		docs:    make(map[string]Document, len(docs)),
		owners:  map[string]Owner{},
		works:   map[string]Work{},
		marks:   map[string]Mark{},
	}
	for _, doc := range docs {
		if err := c.add(doc); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *Catalogue) add(doc Document) error {
	c.docs[doc.Key] = doc
	kind, name, _ := strings.Cut(doc.Key, "/")
	switch Kind(kind) {
	case KindOwner:
		var owner Owner
		if err := json.Unmarshal(doc.Raw, &owner); err != nil {
			return fmt.Errorf("%s: %w", doc.Key, err)
		}
		c.owners[name] = owner.withDefaults()
	case KindWork:
		var work Work
		if err := json.Unmarshal(doc.Raw, &work); err != nil {
			return fmt.Errorf("%s: %w", doc.Key, err)
		}
		c.works[name] = work.withDefaults()
	case KindWorker:
		var mark Mark
		if err := json.Unmarshal(doc.Raw, &mark); err != nil {
			return fmt.Errorf("%s: %w", doc.Key, err)
		}
		c.marks[name] = mark
	default:
	}
	return nil
}

// Version returns the version, which grows by one with every accepted edit.
func (c *Catalogue) Version() uint64 { return c.version }

// Work looks up work by name.
func (c *Catalogue) Work(name string) (Work, bool) {
	work, ok := c.works[name]
	return work, ok
}

// Owner looks up an owner by name.
func (c *Catalogue) Owner(name string) (Owner, bool) {
	owner, ok := c.owners[name]
	return owner, ok
}

// Drained reports whether operators marked a worker as leaving.
func (c *Catalogue) Drained(worker string) bool { return c.marks[worker].Drain }

// Works returns all work by name.
func (c *Catalogue) Works() []Work {
	names := slices.Sorted(maps.Keys(c.works))
	works := make([]Work, 0, len(names))
	for _, name := range names {
		works = append(works, c.works[name])
	}
	return works
}

// Owners returns all owners by name.
func (c *Catalogue) Owners() []Owner {
	names := slices.Sorted(maps.Keys(c.owners))
	owners := make([]Owner, 0, len(names))
	for _, name := range names {
		owners = append(owners, c.owners[name])
	}
	return owners
}

// Document returns a document by its key.
func (c *Catalogue) Document(key string) (Document, bool) {
	doc, ok := c.docs[key]
	return doc, ok
}

// Documents returns all documents by key.
func (c *Catalogue) Documents() []Document {
	keys := slices.Sorted(maps.Keys(c.docs))
	docs := make([]Document, 0, len(keys))
	for _, key := range keys {
		docs = append(docs, c.docs[key])
	}
	return docs
}

// CheckEdit tells whether the catalogue would still hold together with raw under key, or without it if raw is nil.
func (c *Catalogue) CheckEdit(key string, raw json.RawMessage) error {
	kind, name, _ := strings.Cut(key, "/")
	if raw == nil {
		return c.checkDelete(Kind(kind), key, name)
	}
	if Kind(kind) != KindWork {
		return nil
	}
	var work Work
	if err := json.Unmarshal(raw, &work); err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	if _, ok := c.owners[work.Owner]; !ok {
		return &FieldError{Document: key, Field: "owner", Problem: fmt.Sprintf("there is no owner %q", work.Owner)}
	}
	return nil
}

func (c *Catalogue) checkDelete(kind Kind, key, name string) error {
	if _, ok := c.docs[key]; !ok {
		return &FieldError{Document: key, Field: "name", Problem: "there is no such document"}
	}
	if kind != KindOwner {
		return nil
	}
	for _, work := range c.works {
		if work.Owner == name {
			return &FieldError{Document: key, Field: "name", Problem: fmt.Sprintf("work/%s still names this owner", work.Name)}
		}
	}
	return nil
}

// With returns the next version, in which doc replaces its predecessor, or is gone if its Raw is empty.
func (c *Catalogue) With(doc Document) (*Catalogue, error) {
	docs := make([]Document, 0, len(c.docs)+1)
	for key, old := range c.docs {
		if key != doc.Key {
			docs = append(docs, old)
		}
	}
	if len(doc.Raw) > 0 {
		docs = append(docs, doc)
	}
	return NewCatalogue(doc.Version, docs)
}
