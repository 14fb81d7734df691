package entry

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Catalogue is one accepted version of all documents; it is immutable.
type Catalogue struct {
	version uint64
	docs    map[string]Document
	owners  map[string]Owner
	works   map[string]Work
	workers map[string]Worker
}

// NewCatalogue decodes the documents of one version; unknown kinds and fields are kept unchanged.
func NewCatalogue(version uint64, docs []Document) (*Catalogue, error) {
	c := &Catalogue{
		version: version,
		docs:    make(map[string]Document, len(docs)),
		owners:  map[string]Owner{},
		works:   map[string]Work{},
		workers: map[string]Worker{},
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
		var worker Worker
		if err := json.Unmarshal(doc.Raw, &worker); err != nil {
			return fmt.Errorf("%s: %w", doc.Key, err)
		}
		c.workers[name] = worker
	default:
	}
	return nil
}

// Version returns the version, which increases by one with every accepted edit.
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

// Drained reports whether operators are draining a worker.
func (c *Catalogue) Drained(worker string) bool { return c.workers[worker].Drain }

// Works returns all work, sorted by name.
func (c *Catalogue) Works() []Work {
	names := slices.Sorted(maps.Keys(c.works))
	works := make([]Work, 0, len(names))
	for _, name := range names {
		works = append(works, c.works[name])
	}
	return works
}

// Owners returns all owners, sorted by name.
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

// Documents returns all documents, sorted by key.
func (c *Catalogue) Documents() []Document {
	keys := slices.Sorted(maps.Keys(c.docs))
	docs := make([]Document, 0, len(keys))
	for _, key := range keys {
		docs = append(docs, c.docs[key])
	}
	return docs
}

// CheckEdit checks that all references stay valid if raw is stored under key, or if the document is deleted (nil raw).
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

// With returns the next version, in which doc replaces the document with its key, or deletes it if Raw is empty.
func (c *Catalogue) With(doc Document) (*Catalogue, error) {
	docs := make([]Document, 0, len(c.docs)+1)
	for key, current := range c.docs {
		if key != doc.Key {
			docs = append(docs, current)
		}
	}
	if len(doc.Raw) > 0 {
		docs = append(docs, doc)
	}
	return NewCatalogue(doc.Version, docs)
}
