package keys

import (
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/record"
)

// RecordKind is the value of the kind field in a log record whose body is an Entry.
const RecordKind = "key"

// State is what the records about a key say about its call.
type State string

// States of a key. If no record of the outcome follows the first intent, and the
// call is not running, the key is in doubt.
const (
	Intent State = "intent" // an attempt has announced that it will run the call; no outcome is recorded
	Done   State = "done"   // the call ran; its reply is stored unless too long
	Void   State = "void"   // the call did not run and never will
)

// Entry is the body of a record about a key.
type Entry struct {
	Key         string `json:"key"`
	State       State  `json:"state"`
	Nonce       string `json:"nonce"` // ID of the attempt
	Boot        string `json:"boot"`  // incarnation that wrote the record
	Fingerprint uint64 `json:"print"` // fingerprint of the request
	Status      int    `json:"status,omitempty"`
	Body        string `json:"body,omitempty"`
	BodyOmitted bool   `json:"cut,omitempty"` // the body was too long and is not stored
}

// Outcome tells the caller whether its call ran.
type Outcome string

// Outcomes of a call.
const (
	Ran     Outcome = "done"
	NotRun  Outcome = "not-run" // the call did not run
	Unknown Outcome = "unknown" // the call may have run
)

// Reason tells the caller why a call has no reply.
type Reason string

// Reasons why a call has no reply.
const (
	Expired         Reason = "key-expired"     // the key is older than Lifetime
	FromFuture      Reason = "key-from-future" // the creation time is more than MaxClockSkew in the future
	Conflict        Reason = "key-conflict"    // the key was used for a different request
	InDoubt         Reason = "key-in-doubt"    // an earlier attempt may have run the call
	Voided          Reason = "key-void"        // the call of this key did not run and never will
	TableFull       Reason = "keys-full"
	LogDown         Reason = "log-down"
	Timeout         Reason = "timeout"
	IncarnationGone Reason = "incarnation-gone" // the key is bound to another incarnation
	Leaving         Reason = "leaving"          // the VM is leaving, and the key is bound to its incarnation
	NoUpstream      Reason = "no-upstream"
	UpstreamBroken  Reason = "upstream-broken" // the call was sent, but no reply was received
	ReplyNotKept    Reason = "reply-not-kept"  // the call ran, but its reply was too long to store
)

// Reply is the upstream's reply to a call.
type Reply struct {
	Status int
	Body   string
}

// Call is one attempt at the call that is identified by an idempotency key.
type Call struct {
	ID           string // unique at this VM; the nonce of the attempt's intent
	Key          Key
	Fingerprint  uint64 // fingerprint of the request
	FirstAttempt bool   // the caller sends this key for the first time
	Deadline     time.Time
}

// Action is an instruction to the VM: Append, Run or Answer.
type Action interface{ action() }

// Append tells the VM to append a record to a partition's stream.
type Append struct {
	Partition int
	Data      []byte
}

// Run tells the VM to run a call once and to report the outcome to
// Table.FinishRun.
type Run struct{ Call Call }

// Answer is the final answer to a call.
type Answer struct {
	ID         string
	Outcome    Outcome
	Reason     Reason
	Reply      Reply
	Replayed   bool          // the reply comes from the run of another attempt
	RetryAfter time.Duration // how long the caller should wait before a retry
}

func (Append) action() {}
func (Run) action()    {}
func (Answer) action() {}

// Config holds the identity of the VM and the limits of its Table.
type Config struct {
	Boot          string        // incarnation (process run) of this VM
	Partitions    int           // number of partitions, each with a stream for plain keys
	Lifetime      time.Duration // lifetime of a key
	MaxClockSkew  time.Duration // maximum difference between the clocks of callers and VMs
	MaxKeys       int           // maximum number of keys in memory
	MaxReplyBytes int           // maximum size of a stored reply body, in bytes
}

type entry struct {
	Entry
	createdAt time.Time
	running   bool     // this VM is running the call
	waiters   []string // IDs of the calls that wait for the outcome; the first is the call that runs
}

// attempt is a call with a plain key that is neither running nor answered yet.
type attempt struct {
	Call
	appended bool // the VM was told to append the intent
}

type partition struct {
	caughtUp  bool                // the stream was read up to its tail at least once
	down      bool                // the stream could be neither read nor appended to, and no read has succeeded since
	attempts  map[string]*attempt // by nonce
	abandoned map[string]bool     // nonces of calls refused after their intent was appended but before it was read back
}

// Table holds the keys that one VM is responsible for. It is not safe for
// concurrent use.
type Table struct {
	config     Config
	leaving    bool
	entries    map[string]*entry
	partitions map[int]*partition
	lastSweep  time.Time
}

// New returns an empty table.
func New(c Config) *Table {
	return &Table{config: c, entries: map[string]*entry{}, partitions: map[int]*partition{}}
}

// Leave makes the table refuse calls with new bound keys, as the VM is about to
// shut down.
func (t *Table) Leave() { t.leaving = true }

// Busy reports whether a call is running or waits for a partition's stream.
func (t *Table) Busy() bool {
	for _, e := range t.entries {
		if e.running {
			return true
		}
	}
	for p := range t.partitions {
		if t.HasWaiting(p) {
			return true
		}
	}
	return false
}

// HasWaiting reports whether a call waits until a partition's stream is read.
func (t *Table) HasWaiting(p int) bool {
	s, ok := t.partitions[p]
	return ok && len(s.attempts) > 0
}

// ForgetPartition removes the state of a partition for which another VM is now
// responsible. Keys whose call is running at this VM stay in the table.
func (t *Table) ForgetPartition(p int) {
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
		s = &partition{attempts: map[string]*attempt{}, abandoned: map[string]bool{}}
		t.partitions[p] = s
	}
	return s
}

func encode(p int, e Entry) []Action {
	data, err := record.Encode(RecordKind, e)
	if err != nil {
		return nil // unreachable, as an Entry can always be encoded
	}
	return []Action{Append{Partition: p, Data: data}}
}
