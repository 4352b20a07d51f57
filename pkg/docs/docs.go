// Package docs keeps the service documents in force, for `tanagerlb serve`. New
// versions are proposed by records in a log stream, which are applied in order.
// A valid proposal is accepted if and only if the version that it names as its
// base is still in force when the proposal is applied (optimistic concurrency
// control).
package docs

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/tanagerlb/tanagerlb/pkg/record"
	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

// StreamName is the name of the log stream of documents.
const StreamName = "docs"

// RecordKind is the value of the kind field in a log record whose body is a
// Proposal.
const RecordKind = "document"

// ErrInvalid is returned for a record whose document is invalid.
var ErrInvalid = errors.New("invalid document in the log")

// Proposal is the body of a record that proposes a new version of a service's
// document, or republishes an accepted version.
type Proposal struct {
	Service     string `json:"service"`
	BaseVersion int64  `json:"base"`              // version to replace; 0 if there is none
	Nonce       string `json:"nonce"`             // identifies the record to its publisher
	Text        string `json:"text"`              // YAML text
	Version     int64  `json:"version,omitempty"` // version that is republished; 0 for a new version
}

// Revision is an accepted version of a document. It is immutable.
type Revision struct {
	Service      string
	Version      int64 // offset of the record that proposed the version
	Text         string
	Document     *spec.Document
	LatestOffset int64 // offset of the newest record with this version
	adapters     map[string]spec.Adapter
}

// Adapter returns the adapter with the given name.
func (r *Revision) Adapter(name string) (spec.Adapter, bool) {
	a, ok := r.adapters[name]
	return a, ok
}

// Verdict tells whether a record put a new version of a document in force.
type Verdict struct {
	Service  string
	Nonce    string
	Accepted bool
	Version  int64 // version in force after the record
}

// Table holds the documents in force. It is not safe for concurrent use.
type Table struct {
	bases   []string
	inForce map[string]*Revision
}

// Config restricts which documents a Table accepts.
type Config struct {
	BaseModels []string // base models that documents may name; empty for any
}

// New returns an empty table.
func New(c Config) *Table {
	return &Table{bases: c.BaseModels, inForce: map[string]*Revision{}}
}

// Apply applies the next record of the stream. A record that cannot be decoded
// or whose document is invalid has no effect; Apply then returns an error that
// wraps ErrInvalid or an error of package record.
func (t *Table) Apply(r record.Record) (Verdict, error) {
	var p Proposal
	if err := record.Decode(r.Data, RecordKind, &p); err != nil {
		return Verdict{}, err
	}
	verdict := Verdict{Service: p.Service, Nonce: p.Nonce, Version: t.Version(p.Service)}
	if p.Version != 0 {
		return t.applyRepublished(r, p, verdict)
	}
	if p.BaseVersion != verdict.Version {
		return verdict, nil
	}
	return t.putInForce(r.Offset, r.Offset, p, verdict)
}

// applyRepublished applies a record that republishes an accepted version. A
// version newer than the one in force is put in force. For the version in force
// itself, only LatestOffset changes. An older version has no effect.
func (t *Table) applyRepublished(r record.Record, p Proposal, verdict Verdict) (Verdict, error) {
	if p.Version == verdict.Version {
		updated := *t.inForce[p.Service]
		updated.LatestOffset = r.Offset
		t.inForce[p.Service] = &updated
		return verdict, nil
	}
	if p.Version < verdict.Version {
		return verdict, nil
	}
	return t.putInForce(p.Version, r.Offset, p, verdict)
}

func (t *Table) putInForce(version, offset int64, p Proposal, verdict Verdict) (Verdict, error) {
	d, err := spec.Parse(p.Service, []byte(p.Text), t.bases)
	if err != nil {
		return verdict, fmt.Errorf("apply document of service %s: %w: %w", p.Service, ErrInvalid, err)
	}
	if d.Service != p.Service {
		return verdict, fmt.Errorf("apply document of service %s: document names service %s: %w", p.Service, d.Service, ErrInvalid)
	}
	t.inForce[p.Service] = NewRevision(version, offset, p.Text, d)
	verdict.Accepted, verdict.Version = true, version
	return verdict, nil
}

// NewRevision returns the revision for a valid document. The given offset is
// that of the newest record with this version (LatestOffset).
func NewRevision(version, offset int64, text string, d *spec.Document) *Revision {
	revision := &Revision{Service: d.Service, Version: version, Text: text, Document: d, LatestOffset: offset}
	revision.adapters = make(map[string]spec.Adapter, len(d.Adapters))
	for _, a := range d.Adapters {
		revision.adapters[a.Name] = a
	}
	return revision
}

// Version returns the version in force of a service's document, or 0 if there is
// none.
func (t *Table) Version(service string) int64 {
	if revision, ok := t.inForce[service]; ok {
		return revision.Version
	}
	return 0
}

// Revisions returns a copy of the map of documents in force, by service.
func (t *Table) Revisions() map[string]*Revision { return maps.Clone(t.inForce) }

// Versions returns the versions in force, by service.
func (t *Table) Versions() map[string]int64 {
	versions := make(map[string]int64, len(t.inForce))
	for name, revision := range t.inForce {
		versions[name] = revision.Version
	}
	return versions
}

// RecordsNewerThan returns, sorted by service, a record for each document whose
// version in force is newer than the known version. The record republishes the
// version in force.
func (t *Table) RecordsNewerThan(known map[string]int64) ([]record.Record, error) {
	var records []record.Record
	for _, name := range slices.Sorted(maps.Keys(t.inForce)) {
		revision := t.inForce[name]
		if revision.Version <= known[name] {
			continue
		}
		data, err := revision.RepublishRecord()
		if err != nil {
			return nil, err
		}
		records = append(records, record.Record{Offset: revision.LatestOffset, Data: data})
	}
	return records, nil
}

// RepublishRecord returns the data of a record that republishes the revision
// under its version. Applying such a record again changes at most LatestOffset.
func (r *Revision) RepublishRecord() ([]byte, error) {
	return record.Encode(RecordKind, Proposal{Service: r.Service, Text: r.Text, Version: r.Version})
}
