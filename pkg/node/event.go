package node

import (
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/claim"
	"github.com/tanagerlb/tanagerlb/pkg/crash"
	"github.com/tanagerlb/tanagerlb/pkg/keys"
	"github.com/tanagerlb/tanagerlb/pkg/member"
	"github.com/tanagerlb/tanagerlb/pkg/permit"
	"github.com/tanagerlb/tanagerlb/pkg/record"
	"github.com/tanagerlb/tanagerlb/pkg/slots"
)

// Event is something that the VM learned: one of the types below.
type Event interface{ event() }

// Tick tells only that time has passed. It is due every Config.Tick.
type Tick struct{}

// ListRead is the platform's VM list.
type ListRead struct{ VMs []member.Listed }

// Heard is a sign of life from a peer, with the document versions that it has.
type Heard struct {
	VM       member.VM
	Leaving  bool
	Versions map[string]int64
	Log      bool // the peer can read the log
	Yields   []claim.Yield
}

// Silent tells that a peer answered neither on its connection nor on a fresh
// one.
type Silent struct{ VM string }

// LogRead is the result of reading a followed stream.
type LogRead struct {
	Stream string
	Sent   time.Time // when the read was sent
	Batch  record.Batch
}

// LogFailed tells that a stream could not be read or appended to.
type LogFailed struct{ Stream string }

// Lent is what a peer lent of the document stream.
type Lent struct{ Records []record.Record }

// Arrived is a model call for an engine of this VM.
type Arrived struct {
	Request slots.Request
	Engine  string
	Print   crash.Print
}

// Ended tells how a model call that was started ended.
type Ended struct {
	ID     string
	Result Result
}

// Result is how a model call ended on its engine.
type Result int

// Results.
const (
	Finished Result = iota // whole
	Canceled               // by the caller
	Failed                 // by an error that does not point at the engine
	Missing                // the engine does not hold the instance
	Crashed                // the engine crashed
)

// Withdrawn tells that the caller of a call no longer waits.
type Withdrawn struct{ ID string }

// LoadEnded tells how an order to load ended.
type LoadEnded struct {
	Engine   string
	Instance slots.Instance
	OK       bool
}

// UnloadEnded tells how an order to unload ended.
type UnloadEnded struct {
	Engine   string
	Instance slots.Instance
	OK       bool
}

// Reported is an engine's load report.
type Reported struct {
	Engine    string
	Boot      string
	Instances []Resident
}

// Resident is an instance that an engine reports.
type Resident struct {
	Name    string
	Running int // requests
}

// Down tells that an engine answers neither on its connection nor on a fresh
// one.
type Down struct{ Engine string }

// KeyArrived is a call under an idempotency key that this VM keeps.
type KeyArrived struct{ Call keys.Call }

// KeyEnded tells how the run of a key's call ended.
type KeyEnded struct {
	Key     keys.Key
	Outcome keys.Outcome
	Reason  keys.Reason
	Reply   keys.Reply
}

// PermitAsked is a peer's wish for a permit.
type PermitAsked struct{ Ask permit.Ask }

// PermitReleased tells that a peer gives back a permit.
type PermitReleased struct{ ID permit.ID }

// PermitGranted tells that a wish of this VM was granted.
type PermitGranted struct{ ID permit.ID }

// Leave starts the graceful shutdown.
type Leave struct{}

func (Tick) event()           {}
func (ListRead) event()       {}
func (Heard) event()          {}
func (Silent) event()         {}
func (LogRead) event()        {}
func (LogFailed) event()      {}
func (Lent) event()           {}
func (Arrived) event()        {}
func (Ended) event()          {}
func (Withdrawn) event()      {}
func (LoadEnded) event()      {}
func (UnloadEnded) event()    {}
func (Reported) event()       {}
func (Down) event()           {}
func (KeyArrived) event()     {}
func (KeyEnded) event()       {}
func (PermitAsked) event()    {}
func (PermitReleased) event() {}
func (PermitGranted) event()  {}
func (Leave) event()          {}
