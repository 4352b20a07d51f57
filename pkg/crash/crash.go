// Package crash detects poison requests, which crash the upstreams that run them. What
// may be the cause of a crash is identified by a fingerprint, so a blocked request
// cannot run again under another key.
//
// A Tracker counts, for each such cause, the crashes of upstreams that ran a request with
// it. A VM records the crashes
// that it sees and passes them on to the other VMs: tanagerlb serve in a stream of the
// log, tanagerlb edge in the fleet topic of the platform's store.
package crash

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerlb/tanagerlb/pkg/record"
)

// Fingerprint is a hash that identifies a Cause.
type Fingerprint uint64

// Cause is something about a request that may crash the upstreams which run it.
type Cause struct {
	Kind  Kind
	Print Fingerprint // differs from those of causes of another kind
}

// Kind tells what a Cause is. The values are kept, as stored records hold them.
type Kind uint8

const (
	// Content is the content of requests, whoever sends them.
	Content Kind = iota
	// Repeat is the content of requests and their caller: a request and its repeats.
	Repeat
	// Part is a part of prompts, whatever else the requests hold.
	Part
)

// String returns the name of the kind, as it stands in logs.
func (k Kind) String() string {
	switch k {
	case Content:
		return "content"
	case Repeat:
		return "request"
	case Part:
		return "part"
	default:
		return "unknown"
	}
}

// String returns the fingerprint in hexadecimal, as it stands in logs.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// ParseFingerprint parses the text that Fingerprint.String returns.
func ParseFingerprint(text string) (Fingerprint, error) {
	f, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("parse fingerprint: %w", err)
	}
	return Fingerprint(f), nil
}

// Prints returns the fingerprints of causes.
func Prints(causes []Cause) []Fingerprint {
	prints := make([]Fingerprint, len(causes))
	for i, c := range causes {
		prints[i] = c.Print
	}
	return prints
}

// Texts returns the fingerprints as they stand in logs.
func Texts(list []Fingerprint) []string {
	texts := make([]string, len(list))
	for i, f := range list {
		texts[i] = f.String()
	}
	return texts
}

// Run is a run of a request during which its upstream crashed, as it counts for one cause.
type Run struct {
	ID       uint64    // identifies the run among the runs of all VMs
	Kind     Kind      // of the cause
	Upstream string    // id of the upstream
	Sent     time.Time // when the request was sent to the upstream
	Ended    time.Time // when the request broke off
	Alone    bool      // no other request that is a suspect ran there at the same time
	Harmless bool      // a request with the cause had run to its end shortly before
	// Silence is the time from Ended until the upstream was known to have crashed, if it had left the
	// connection open: it may have crashed at any time since Sent.
	Silence time.Duration
}

// RunID returns the ID of a run: the VM that sent the request, the run of the VM's
// process, and the number of the run there.
func RunID(vm, boot string, number int64) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s.%s.%d", vm, boot, number))
}

// sameCrash reports whether two runs may have seen the same crash: the second was sent
// before the upstream can have restarted. An upstream may restart under its id, so that
// its id alone does not tell two crashes apart.
func (r Run) sameCrash(other Run, restart time.Duration) bool {
	return r.Upstream == other.Upstream && !r.Sent.After(other.crashed().Add(restart)) && !other.Sent.After(r.crashed().Add(restart))
}

// crashed returns a time by which the upstream had crashed.
func (r Run) crashed() time.Time { return r.Ended.Add(r.Silence) }

// SavedRun is a Run as it is stored. Times are in Unix milliseconds.
type SavedRun struct {
	ID       uint64 `json:"id"`
	Kind     Kind   `json:"kind,omitempty"`
	Upstream string `json:"upstream"`
	Sent     int64  `json:"sent"`
	Ended    int64  `json:"ended"`
	Alone    bool   `json:"alone,omitempty"`
	Harmless bool   `json:"harmless,omitempty"`
	Silence  int64  `json:"silence,omitempty"` // in milliseconds
}

// Save returns the run as it is stored.
func (r Run) Save() SavedRun {
	return SavedRun{ID: r.ID, Kind: r.Kind, Upstream: r.Upstream, Sent: r.Sent.UnixMilli(), Ended: r.Ended.UnixMilli(), Alone: r.Alone, Harmless: r.Harmless, Silence: r.Silence.Milliseconds()}
}

// Load returns the run. It may have ended in the future, as the clocks of VMs differ.
func (r SavedRun) Load() Run {
	return Run{
		ID: r.ID, Kind: r.Kind, Upstream: r.Upstream, Sent: time.UnixMilli(r.Sent), Ended: time.UnixMilli(r.Ended), Alone: r.Alone, Harmless: r.Harmless,
		Silence: time.Duration(r.Silence) * time.Millisecond,
	}
}

// Stream is the log stream of the records about crashes.
const Stream = "crash"

// Kinds of the records in Stream. They are kept, as stored records hold them.
const (
	KindCrashed = "crashed"   // body RunRecord
	KindCleared = "cleared"   // body ClearRecord
	KindBlocked = "condemned" // body BlockRecord; written by earlier versions
)

// RunRecord is the body of a record of a crash under a request.
type RunRecord struct {
	Fingerprint Fingerprint `json:"print"`
	Run         SavedRun    `json:"run"`
}

// ClearRecord is the body of a record of a complete run of a request under which engines
// have crashed before.
type ClearRecord struct {
	Fingerprint Fingerprint `json:"print"`
}

// BlockRecord is the body of the record by which earlier versions block a request.
type BlockRecord struct {
	Fingerprint Fingerprint `json:"print"`
}

// Apply applies a record of Stream. It returns the ID of the run that the record is
// about, or 0.
func (t *Tracker) Apply(now time.Time, r record.Record) (uint64, error) {
	kind, err := record.Kind(r.Data)
	if err != nil {
		return 0, err
	}
	switch kind {
	case KindCleared:
		var c ClearRecord
		if err := record.Decode(r.Data, kind, &c); err != nil {
			return 0, err
		}
		t.Clear(c.Fingerprint)
		return 0, nil
	case KindBlocked:
		var b BlockRecord
		if err := record.Decode(r.Data, kind, &b); err != nil {
			return 0, err
		}
		for i := range int64(t.config.Crashes) {
			run := Run{ID: RunID(kind, "", i), Upstream: strconv.FormatInt(i, 10), Sent: now, Ended: now}
			t.Record(now, b.Fingerprint, run)
		}
		return 0, nil
	default:
		var c RunRecord
		if err := record.Decode(r.Data, KindCrashed, &c); err != nil {
			return 0, err
		}
		t.Record(now, c.Fingerprint, c.Run.Load())
		return c.Run.ID, nil
	}
}
