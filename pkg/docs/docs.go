// Package docs provides the documents in force, as the order of the log
// decides them: a document is accepted if and only if it replaces the version
// that is in force at its place in the log.
package docs

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/tanagerlb/tanagerlb/pkg/record"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

// Stream is the log stream of documents.
const Stream = "docs"

// Kind is the kind of a document's record.
const Kind = "document"

// ErrInvalid tells that a record's document has findings.
var ErrInvalid = errors.New("document in the log is invalid")

// Proposal is the body of a document's record.
type Proposal struct {
	Service string `json:"service"`
	Base    int64  `json:"base"`              // version that it replaces; 0 for none
	Nonce   string `json:"nonce"`             // tells the publisher which record is its own
	Text    string `json:"text"`              // YAML text
	Version int64  `json:"version,omitempty"` // set when an accepted version is stated again
}

// Edition is a version of a document in force. It is never changed.
type Edition struct {
	Service  string
	Version  int64
	Text     string
	Document *spec.Document
	Stated   int64 // offset of the newest record that states it
	adapters map[string]spec.Adapter
}

// Adapter returns the adapter that the document names.
func (e *Edition) Adapter(name string) (spec.Adapter, bool) {
	a, ok := e.adapters[name]
	return a, ok
}

// Verdict is what became of a proposal.
type Verdict struct {
	Service  string
	Nonce    string
	Accepted bool
	Version  int64 // version in force after the proposal
}

// Table holds the documents in force. Its methods must not be called at the
// same time.
type Table struct {
	bases    []string
	editions map[string]*Edition
}

// Config sets up a Table.
type Config struct {
	Bases []string // base models that documents may name; empty for any
}

// New returns an empty table.
func New(c Config) *Table {
	return &Table{bases: c.Bases, editions: map[string]*Edition{}}
}

// Apply takes the next record of the stream. A record that cannot be used
// changes nothing; the error is one of record's, or ErrInvalid.
func (t *Table) Apply(r record.Record) (Verdict, error) {
	var p Proposal
	if err := record.Decode(r.Data, Kind, &p); err != nil {
		return Verdict{}, err
	}
	verdict := Verdict{Service: p.Service, Nonce: p.Nonce, Version: t.Version(p.Service)}
	if p.Version != 0 {
		return t.restate(r, p, verdict)
	}
	if p.Base != verdict.Version {
		return verdict, nil
	}
	return t.accept(r.Offset, r.Offset, p, verdict)
}

func (t *Table) restate(r record.Record, p Proposal, verdict Verdict) (Verdict, error) {
	if p.Version == verdict.Version {
		e := *t.editions[p.Service]
		e.Stated = r.Offset
		t.editions[p.Service] = &e
		return verdict, nil
	}
	if p.Version < verdict.Version {
		return verdict, nil
	}
	return t.accept(p.Version, r.Offset, p, verdict)
}

func (t *Table) accept(version, stated int64, p Proposal, verdict Verdict) (Verdict, error) {
	d, err := spec.Parse(p.Service, []byte(p.Text), t.bases)
	if err != nil {
		return verdict, fmt.Errorf("apply document %s: %w: %w", p.Service, ErrInvalid, err)
	}
	if d.Service != p.Service {
		return verdict, fmt.Errorf("apply document %s that describes %s: %w", p.Service, d.Service, ErrInvalid)
	}
	t.editions[p.Service] = NewEdition(version, stated, p.Text, d)
	verdict.Accepted, verdict.Version = true, version
	return verdict, nil
}

// NewEdition returns an edition of a checked document.
func NewEdition(version, stated int64, text string, d *spec.Document) *Edition {
	e := &Edition{Service: d.Service, Version: version, Text: text, Document: d, Stated: stated}
	e.adapters = make(map[string]spec.Adapter, len(d.Adapters))
	for _, a := range d.Adapters {
		e.adapters[a.Name] = a
	}
	return e
}

// Version returns the version in force of a service, or 0.
func (t *Table) Version(service string) int64 {
	if e, ok := t.editions[service]; ok {
		return e.Version
	}
	return 0
}

// Editions returns a copy of the documents in force, by service.
func (t *Table) Editions() map[string]*Edition { return maps.Clone(t.editions) }

// Versions returns the versions in force, by service.
func (t *Table) Versions() map[string]int64 {
	versions := make(map[string]int64, len(t.editions))
	for name, e := range t.editions {
		versions[name] = e.Version
	}
	return versions
}

// Newer returns records that state the versions in force which have passes
// over, in the order of their services.
func (t *Table) Newer(have map[string]int64) ([]record.Record, error) {
	var records []record.Record
	for _, name := range slices.Sorted(maps.Keys(t.editions)) {
		e := t.editions[name]
		if e.Version <= have[name] {
			continue
		}
		data, err := e.Restatement()
		if err != nil {
			return nil, err
		}
		records = append(records, record.Record{Offset: e.Stated, Data: data})
	}
	return records, nil
}

// Restatement returns the data of a record that states the edition again with
// its version. It is harmless when read twice.
func (e *Edition) Restatement() ([]byte, error) {
	return record.Encode(Kind, Proposal{Service: e.Service, Text: e.Text, Version: e.Version})
}
