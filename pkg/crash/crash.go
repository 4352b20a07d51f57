// Package crash provides the suspicion that a request crashes the engines that
// run it. A request that was running when an engine crashed is a suspect; one
// that crashes an engine again is condemned, by a record in the log, under
// whatever key it is sent.
package crash

import (
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/record"
)

// Stream is the log stream of condemned requests.
const Stream = "crash"

// Kind is the kind of a condemned request's record.
const Kind = "condemned"

// Print is the fingerprint of a request's content.
type Print uint64

// Condemned is the body of a condemned request's record.
type Condemned struct {
	Print Print `json:"print"`
}

// Config sets up a Table.
type Config struct {
	Keep time.Duration // how long a suspicion lasts
}

// Table holds suspicions and verdicts. Its methods must not be called at the
// same time.
type Table struct {
	config    Config
	suspects  map[Print]time.Time
	condemned map[Print]bool
}

// New returns an empty table.
func New(c Config) *Table {
	return &Table{config: c, suspects: map[Print]time.Time{}, condemned: map[Print]bool{}}
}

// Running is a request that was running when an engine crashed.
type Running struct {
	Print   Print
	Suspect bool
}

// Crashed takes the requests that were running when an engine crashed. If
// suspects are among them they are condemned and the others stay free of
// suspicion; else all become suspects. It returns the newly condemned.
func (t *Table) Crashed(now time.Time, running []Running) []Print {
	var condemned []Print
	for _, r := range running {
		if r.Suspect && !t.condemned[r.Print] {
			t.condemned[r.Print] = true
			condemned = append(condemned, r.Print)
		}
	}
	if len(condemned) > 0 {
		return condemned
	}
	for _, r := range running {
		t.suspects[r.Print] = now
	}
	return nil
}

// Clear takes that a request ran to its end.
func (t *Table) Clear(p Print) { delete(t.suspects, p) }

// Suspect tells whether a request is suspected at now.
func (t *Table) Suspect(now time.Time, p Print) bool {
	since, ok := t.suspects[p]
	if ok && now.Sub(since) > t.config.Keep {
		delete(t.suspects, p)
		return false
	}
	return ok
}

// Condemned tells whether a request must not be run any more.
func (t *Table) Condemned(p Print) bool { return t.condemned[p] }

// Apply takes the next record of the stream.
func (t *Table) Apply(r record.Record) error {
	var c Condemned
	if err := record.Decode(r.Data, Kind, &c); err != nil {
		return err
	}
	t.condemned[c.Print] = true
	return nil
}
