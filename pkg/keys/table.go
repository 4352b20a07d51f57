package keys

import (
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/record"
)

// Kind is the kind of a key's records.
const Kind = "key"

// State is what a record says of a key.
type State string

// States of a key. Without an outcome after its intent, a key is in doubt.
const (
	Intent State = "intent" // a VM is going to run the call
	Done   State = "done"   // the call ran; the reply may be kept
	Void   State = "void"   // the call was not run and never will be
)

// Entry is the body of a key's record.
type Entry struct {
	Key    string `json:"key"`
	State  State  `json:"state"`
	Nonce  string `json:"nonce"` // names the attempt
	Boot   string `json:"boot"`  // incarnation that wrote the record
	Print  uint64 `json:"print"` // fingerprint of the request
	Status int    `json:"status,omitempty"`
	Body   string `json:"body,omitempty"`
	Cut    bool   `json:"cut,omitempty"` // the body was too long to be kept
}

// Outcome is what a caller is told of a call.
type Outcome string

// Outcomes of a call.
const (
	Ran     Outcome = "done"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Reason tells why a call has no reply.
type Reason string

// Reasons for refusing a call.
const (
	Expired    Reason = "key-expired"
	Future     Reason = "key-from-future"
	Conflict   Reason = "key-conflict"
	InDoubt    Reason = "key-in-doubt"
	Voided     Reason = "key-void"
	Full       Reason = "keys-full"
	LogDown    Reason = "log-down"
	Timeout    Reason = "timeout"
	OtherBoot  Reason = "incarnation-gone"
	Leaving    Reason = "leaving"
	NoUpstream Reason = "no-upstream"
	Broken     Reason = "upstream-broken"
	TooLong    Reason = "reply-not-kept"
)

// Reply is the answer of the plain service.
type Reply struct {
	Status int
	Body   string
}

// Call is one attempt to run a call under a key.
type Call struct {
	ID       string // unique at this VM; also the nonce of the attempt's intent
	Key      Key
	Print    uint64
	First    bool // the caller never sent this key before
	Deadline time.Time
}

// Action is what the VM has to do: Append, Run or Answer.
type Action interface{ action() }

// Append appends a record to a partition's stream.
type Append struct {
	Partition int
	Data      []byte
}

// Run runs the call once; how it ended is to be reported by Ended.
type Run struct{ Call Call }

// Answer is the final answer to a call.
type Answer struct {
	ID       string
	Outcome  Outcome
	Reason   Reason
	Reply    Reply
	Repeated bool
	After    time.Duration // when to come back
}

func (Append) action() {}
func (Run) action()    {}
func (Answer) action() {}

// Config sets up a Table.
type Config struct {
	Boot       string        // this VM's incarnation
	Partitions int           // number of streams for plain keys
	Life       time.Duration // for how long a key may be used
	Skew       time.Duration // bound on the difference of clocks
	Most       int           // keys kept in memory
	Keep       int           // bytes of a reply's body that are kept
}

type entry struct {
	Entry
	made    time.Time
	running bool     // by this VM, now
	joined  []string // calls that wait for the outcome
}

// attempt is a call that has no answer yet and is not running.
type attempt struct {
	Call
	appended bool
}

type partition struct {
	caught   bool // read up to the tail once
	down     bool
	attempts map[string]*attempt // by nonce
	quit     map[string]bool     // nonces answered before their intent was read
}

// Table holds the keys that one VM keeps. Its methods must not be called at
// the same time.
type Table struct {
	config     Config
	leaving    bool
	entries    map[string]*entry
	partitions map[int]*partition
	swept      time.Time
}

// New returns an empty table.
func New(c Config) *Table {
	return &Table{config: c, entries: map[string]*entry{}, partitions: map[int]*partition{}}
}

// Leave makes the table refuse calls under new bound keys.
func (t *Table) Leave() { t.leaving = true }

// Busy tells whether a call waits or runs.
func (t *Table) Busy() bool {
	for _, e := range t.entries {
		if e.running {
			return true
		}
	}
	for p := range t.partitions {
		if t.Waits(p) {
			return true
		}
	}
	return false
}

// Waits tells whether a call waits for a partition's stream.
func (t *Table) Waits(p int) bool {
	s, ok := t.partitions[p]
	return ok && len(s.attempts) > 0
}

// Forget drops what is known of a partition that another VM keeps now.
func (t *Table) Forget(p int) {
	delete(t.partitions, p)
	for text, e := range t.entries {
		key, err := Parse(text)
		if err == nil && key.Boot == "" && !e.running && key.Partition(t.config.Partitions) == p {
			delete(t.entries, text)
		}
	}
}

func (t *Table) partition(p int) *partition {
	s, ok := t.partitions[p]
	if !ok {
		s = &partition{attempts: map[string]*attempt{}, quit: map[string]bool{}}
		t.partitions[p] = s
	}
	return s
}

func encode(p int, e Entry) []Action {
	data, err := record.Encode(Kind, e)
	if err != nil {
		return nil // cannot happen: an Entry always encodes
	}
	return []Action{Append{Partition: p, Data: data}}
}
