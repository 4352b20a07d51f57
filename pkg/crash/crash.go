// Package crash detects requests that crash the engines that run them. A request
// that was running when an engine crashed becomes a suspect. If an engine crashes
// again while it runs a suspect, the request is blocked by a record in the log.
// Requests are identified by their content, so a blocked one cannot run again
// under another key.
package crash

import (
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/record"
)

// Stream is the log stream of the records that block requests.
const Stream = "crash"

// Kind is the kind of the record that blocks a request.
const Kind = "condemned"

// Print is the fingerprint of a request's content.
type Print uint64

// Condemned is the body of the record that blocks a request.
type Condemned struct {
	Print Print `json:"print"`
}

// Config configures a Table.
type Config struct {
	Keep time.Duration // how long a request stays a suspect
}

// Table holds the suspects and the blocked requests. Its methods must not be
// called concurrently.
type Table struct {
	config   Config
	suspects map[Print]time.Time // when each one was last running during a crash
	blocked  map[Print]bool
}

// New returns an empty table.
func New(c Config) *Table {
	return &Table{config: c, suspects: map[Print]time.Time{}, blocked: map[Print]bool{}}
}

// Running is a request that was running when an engine crashed.
type Running struct {
	Print   Print
	Suspect bool
}

// Crashed records the requests that were running when an engine crashed. If
// there are suspects among them, these are blocked and the others do not become
// suspects; otherwise all become suspects. It returns the newly blocked requests.
func (t *Table) Crashed(now time.Time, running []Running) []Print {
	var blocked []Print
	for _, r := range running {
		if r.Suspect && !t.blocked[r.Print] {
			t.blocked[r.Print] = true
			blocked = append(blocked, r.Print)
		}
	}
	if len(blocked) > 0 {
		return blocked
	}
	for _, r := range running {
		t.suspects[r.Print] = now
	}
	return nil
}

// Clear removes a request from the suspects after it ran to its end.
func (t *Table) Clear(p Print) { delete(t.suspects, p) }

// Suspect reports whether a request is a suspect at now.
func (t *Table) Suspect(now time.Time, p Print) bool {
	since, ok := t.suspects[p]
	if ok && now.Sub(since) > t.config.Keep {
		delete(t.suspects, p)
		return false
	}
	return ok
}

// Condemned reports whether a request is blocked.
func (t *Table) Condemned(p Print) bool { return t.blocked[p] }

// Apply applies the next record of the stream.
func (t *Table) Apply(r record.Record) error {
	var c Condemned
	if err := record.Decode(r.Data, Kind, &c); err != nil {
		return err
	}
	t.blocked[c.Print] = true
	return nil
}
