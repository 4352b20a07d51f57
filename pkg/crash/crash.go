// Package crash detects poison requests, which crash the engines that run them. A
// request is identified by a fingerprint of its content, so a blocked request
// cannot run again under another key.
//
// tanagerlb serve uses Detector: a request that was running when an engine crashed
// becomes a suspect. If an engine crashes while it runs a suspect, a record in the
// log blocks that request. tanagerlb edge uses Tracker, which counts the crashes of
// upstreams that ran a request.
package crash

import (
	"fmt"
	"strconv"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/record"
)

// Stream is the log stream of the records that block requests.
const Stream = "crash"

// Kind is the value of the kind field in a log record whose body is a BlockRecord.
// It is kept, as stored records hold it.
const Kind = "condemned"

// Fingerprint is a hash of a request's content.
type Fingerprint uint64

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

// Texts returns the fingerprints as they stand in logs.
func Texts(list []Fingerprint) []string {
	texts := make([]string, len(list))
	for i, f := range list {
		texts[i] = f.String()
	}
	return texts
}

// BlockRecord is the body of the record that blocks a request.
type BlockRecord struct {
	Fingerprint Fingerprint `json:"print"`
}

// Config sets how long a Detector remembers suspects.
type Config struct {
	SuspectTTL time.Duration // how long a request stays a suspect after the last crash during which it ran
}

// Detector holds the suspects and the blocked requests. Its methods must not be
// called concurrently.
type Detector struct {
	config   Config
	suspects map[Fingerprint]time.Time // time of the last crash during which each suspect was running
	blocked  map[Fingerprint]bool
}

// New returns a detector that knows no suspects and no blocked requests.
func New(c Config) *Detector {
	return &Detector{config: c, suspects: map[Fingerprint]time.Time{}, blocked: map[Fingerprint]bool{}}
}

// Running is a request that was running when an engine crashed.
type Running struct {
	Fingerprint Fingerprint
	Suspect     bool // the request was already a suspect when it started
}

// RecordCrash handles the crash of an engine on which the given requests were
// running. It blocks the suspects among them and returns the newly blocked ones. If
// none is newly blocked, all the given requests become suspects.
func (d *Detector) RecordCrash(now time.Time, running []Running) []Fingerprint {
	var blocked []Fingerprint
	for _, r := range running {
		if r.Suspect && !d.blocked[r.Fingerprint] {
			d.blocked[r.Fingerprint] = true
			blocked = append(blocked, r.Fingerprint)
		}
	}
	if len(blocked) > 0 {
		return blocked
	}
	for _, r := range running {
		d.suspects[r.Fingerprint] = now
	}
	return nil
}

// Clear removes a request from the suspects. It is to be called when the request
// has run to its end without a crash.
func (d *Detector) Clear(f Fingerprint) { delete(d.suspects, f) }

// Suspect reports whether a request is a suspect at now: RecordCrash made it one
// within the last Config.SuspectTTL, and Clear was not called for it since.
func (d *Detector) Suspect(now time.Time, f Fingerprint) bool {
	since, ok := d.suspects[f]
	if ok && now.Sub(since) > d.config.SuspectTTL {
		delete(d.suspects, f)
		return false
	}
	return ok
}

// Blocked reports whether RecordCrash or a record in the log has blocked a request.
func (d *Detector) Blocked(f Fingerprint) bool { return d.blocked[f] }

// Apply applies the next record of the crash stream: it blocks the request that
// the record names.
func (d *Detector) Apply(r record.Record) error {
	var b BlockRecord
	if err := record.Decode(r.Data, Kind, &b); err != nil {
		return err
	}
	d.blocked[b.Fingerprint] = true
	return nil
}
