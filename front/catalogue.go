package front

import (
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"github.com/corianderdrift/corianderdrift/catlog"
	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/store"
)

// Headers, size limit and metrics class of operators' requests.
const (
	headerEditID     = "Edit-Id"
	headerAuthor     = "Edit-Author"
	maxDocumentBytes = 256 << 10
	classOperator    = "operator"
)

// DocumentReport is a catalogue document with its version.
type DocumentReport struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Doc     json.RawMessage `json:"doc"`
}

// CatalogueReport is a list of documents of one catalogue version.
type CatalogueReport struct {
	Version   uint64           `json:"version"`
	Documents []DocumentReport `json:"documents"`
}

func (s *Server) listCatalogue(w http.ResponseWriter, _ *http.Request) {
	c := s.cfg.Keeper.Current()
	if c == nil {
		s.writeProblem(w, classOperator, reason.Refuse(reason.NoCatalogue, "no catalogue could be read yet"))
		return
	}
	report := CatalogueReport{Version: c.Version(), Documents: []DocumentReport{}}
	for _, doc := range c.Documents() {
		report.Documents = append(report.Documents, DocumentReport{Key: doc.Key, Version: doc.Version, Doc: doc.Raw})
	}
	writeJSON(w, http.StatusOK, report)
}

func (s *Server) getDocument(w http.ResponseWriter, r *http.Request) {
	c := s.cfg.Keeper.Current()
	if c == nil {
		s.writeProblem(w, classOperator, reason.Refuse(reason.NoCatalogue, "no catalogue could be read yet"))
		return
	}
	key := r.PathValue("kind") + "/" + r.PathValue("name")
	doc, ok := c.Document(key)
	if !ok {
		s.writeProblem(w, classOperator, reason.Refuse(reason.NoSuchEntry, "the catalogue has no document %s", key))
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(doc.Version, 10)))
	writeJSON(w, http.StatusOK, DocumentReport{Key: key, Version: doc.Version, Doc: doc.Raw})
}

func (s *Server) checkOperatorToken(r *http.Request) error {
	want := s.cfg.Host.OperatorToken
	if want == "" {
		return nil
	}
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if subtle.ConstantTimeCompare([]byte(token), []byte(want)) != 1 {
		return reason.Refuse(reason.NotAllowed, "the operators' token is needed")
	}
	return nil
}

func (s *Server) putDocument(w http.ResponseWriter, r *http.Request) {
	if err := s.checkOperatorToken(r); err != nil {
		s.writeProblem(w, classOperator, err)
		return
	}
	edit, err := parseEdit(r)
	if err != nil {
		s.writeProblem(w, classOperator, reason.Refuse(reason.BadRequest, "%v", err))
		return
	}
	change, err := s.cfg.Keeper.Apply(r.Context(), edit)
	if err != nil {
		s.writeProblem(w, classOperator, editRefusal(err))
		return
	}
	writeJSON(w, http.StatusOK, change)
}

func parseEdit(r *http.Request) (catlog.Edit, error) {
	edit := catlog.Edit{
		ID: r.Header.Get(headerEditID), Author: r.Header.Get(headerAuthor),
		Key:    r.PathValue("kind") + "/" + r.PathValue("name"),
		DryRun: r.URL.Query().Get("dry-run") == "true",
	}
	if edit.ID == "" {
		edit.ID = uuid.NewString()
	}
	if match := strings.Trim(r.Header.Get("If-Match"), `"`); match != "" {
		expect, err := strconv.ParseUint(match, 10, 64)
		if err != nil {
			return edit, errors.New("If-Match must hold the document's version")
		}
		edit.Expect = expect
	}
	if r.Method == http.MethodDelete {
		return edit, nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxDocumentBytes))
	if err != nil {
		return edit, err
	}
	key, err := entry.Check(body)
	if err != nil {
		return edit, err
	}
	if key != edit.Key {
		return edit, &entry.FieldError{Document: edit.Key, Field: "name", Problem: "the document is named " + key}
	}
	edit.Doc = body
	return edit, nil
}

// editRefusal converts the error of a rejected or uncertain edit to a refusal.
func editRefusal(err error) error {
	var conflict *catlog.ConflictError
	var uncertain *catlog.UncertainError
	var field *entry.FieldError
	var unavailable *store.UnavailableError
	switch {
	case errors.As(err, &conflict):
		return &reason.Refusal{Outcome: reason.NotRun, Reason: reason.EditConflict, Err: conflict}
	case errors.As(err, &uncertain):
		return &reason.Refusal{Outcome: reason.Unknown, Reason: reason.StoreUnavailable, Err: uncertain}
	case errors.As(err, &field):
		return reason.Refuse(reason.BadRequest, "%v", field)
	case errors.As(err, &unavailable):
		return &reason.Refusal{Outcome: reason.NotRun, Reason: reason.StoreUnavailable, Err: unavailable}
	default:
		return err
	}
}

func (s *Server) listHistory(w http.ResponseWriter, r *http.Request) {
	const defaultLength = 50
	head := s.cfg.Keeper.Version()
	from := head - min(head, defaultLength)
	if text := r.URL.Query().Get("from"); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		if err != nil || parsed > head {
			s.writeProblem(w, classOperator, reason.Refuse(reason.BadRequest, "from: must be 0 to %d", head))
			return
		}
		from = parsed
	}
	changes, err := s.cfg.Keeper.History(r.Context(), from, head)
	if err != nil {
		s.writeProblem(w, classOperator, &reason.Refusal{Outcome: reason.NotRun, Reason: reason.StoreUnavailable, Err: err})
		return
	}
	writeJSON(w, http.StatusOK, changes)
}

func (s *Server) listWorkers(w http.ResponseWriter, r *http.Request) {
	reports := s.cfg.Cluster.Workers(r.Context())
	sort.Slice(reports, func(i, j int) bool { return reports[i].Name < reports[j].Name })
	writeJSON(w, http.StatusOK, reports)
}

func (s *Server) listOwners(w http.ResponseWriter, r *http.Request) {
	reports := s.cfg.Cluster.Owners(r.Context())
	sort.Slice(reports, func(i, j int) bool { return reports[i].Owner < reports[j].Owner })
	writeJSON(w, http.StatusOK, reports)
}

func (s *Server) listHosts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.cfg.Cluster.Hosts())
}
