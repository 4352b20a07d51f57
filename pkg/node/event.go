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

// Event is an input to the node. It is one of the types below.
type Event interface{ event() }

// Tick is the periodic timer event. It is due every Timing.Tick.
type Tick struct{}

// ListRead brings the platform's current VM list.
type ListRead struct{ VMs []member.Listed }

// Heard is a heartbeat from a peer.
type Heard struct {
	VM       member.VM
	Leaving  bool
	Versions map[string]int64 // document versions that the peer has, by service
	Log      bool             // the peer can read the log
	Yields   []claim.Yield
}

// Silent reports that a peer answered neither on its open connection nor on a
// new one.
type Silent struct{ VM string }

// LogRead is the result of reading a followed stream.
type LogRead struct {
	Stream string
	Sent   time.Time // when the read request was sent
	Batch  record.Batch
}

// LogFailed reports that a log stream could not be read or appended to.
type LogFailed struct{ Stream string }

// Lent brings the document records that a peer returned for a Borrow.
type Lent struct{ Records []record.Record }

// Arrived is a model call for an engine that this VM owns.
type Arrived struct {
	Request slots.Request
	Engine  string
	Print   crash.Fingerprint
}

// Ended reports how a started model call ended.
type Ended struct {
	ID     string
	Result Result
}

// Result is how a model call ended on its engine.
type Result int

// Results of a model call.
const (
	Finished Result = iota // the engine returned a complete response
	Canceled               // the caller cancelled the call
	Failed                 // an error occurred that does not point to a fault of the engine
	Missing                // the instance is not loaded on the engine
	Crashed                // the engine crashed
)

// Withdrawn reports that the caller no longer waits for a model call.
type Withdrawn struct{ ID string }

// LoadEnded reports how an order to load ended.
type LoadEnded struct {
	Engine   string
	Instance slots.Instance
	OK       bool
}

// UnloadEnded reports how an order to unload ended.
type UnloadEnded struct {
	Engine   string
	Instance slots.Instance
	OK       bool
}

// Reported is an engine's load report.
type Reported struct {
	Engine    string
	Boot      string // incarnation of the engine
	Instances []Resident
}

// Resident is an adapter instance in an engine's load report.
type Resident struct {
	Name    string
	Running int // requests that run on it
}

// Down reports that an engine answers neither on its open connection nor on a
// new one.
type Down struct{ Engine string }

// KeyArrived is a call whose idempotency key this VM keeps.
type KeyArrived struct{ Call keys.Call }

// KeyEnded reports how the execution of a call with an idempotency key ended.
type KeyEnded struct {
	Key     keys.Key
	Outcome keys.Outcome
	Reason  keys.Reason
	Reply   keys.Reply
}

// PermitAsked is a permit request from a peer.
type PermitAsked struct{ Ask permit.Ask }

// PermitReleased reports that a peer returned a permit or withdrew the request
// for one.
type PermitReleased struct{ ID permit.ID }

// PermitGranted reports that a permit request of this VM was granted.
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
