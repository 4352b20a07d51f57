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

// Event is an input of Node.Step. It is one of the types of this package that have a
// method event.
type Event interface{ event() }

// Tick is the periodic timer event. It is due every Timing.Tick.
type Tick struct{}

// VMListRead brings the platform's current VM list.
type VMListRead struct{ VMs []member.ListEntry }

// PeerHeartbeat is a heartbeat from a peer.
type PeerHeartbeat struct {
	VM       member.VM
	Leaving  bool
	Versions map[string]int64 // document versions that the peer has, by service
	LogUp    bool             // the peer can read the log
	Yields   []claim.Yield    // engines that the peer gave up for lack of a valid lease (see Node.Yields)
}

// PeerUnreachable reports that a peer answered neither on its open connection
// nor on a new one.
type PeerUnreachable struct{ VM string }

// LogRead is the result of reading a followed stream.
type LogRead struct {
	Stream string
	Sent   time.Time // when the read request was sent
	Batch  record.Batch
}

// LogFailed reports that a log stream could not be read or appended to.
type LogFailed struct{ Stream string }

// DocumentsFetched brings the document records that a peer returned for a
// FetchDocuments.
type DocumentsFetched struct{ Records []record.Record }

// CallArrived is a model call for an engine. Its sender takes this VM to be the
// owner of the engine.
type CallArrived struct {
	Request     slots.Request
	Engine      string
	Fingerprint crash.Fingerprint
}

// CallEnded reports how a model call ended after a Start.
type CallEnded struct {
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

// PlainCrashed reports that an upstream of a plain service crashed while it ran a call.
type PlainCrashed struct {
	Fingerprint crash.Fingerprint
	Upstream    string
	Sent        time.Time // when the call was sent
}

// PlainCompleted reports that an upstream of a plain service answered a call under which
// upstreams have crashed before.
type PlainCompleted struct{ Fingerprint crash.Fingerprint }

// CallWithdrawn reports that the caller no longer waits for a model call. It has no
// effect on a call that was started.
type CallWithdrawn struct{ ID string }

// LoadEnded reports whether a Load succeeded.
type LoadEnded struct {
	Engine   string
	Instance slots.Instance
	OK       bool
}

// UnloadEnded reports whether an Unload succeeded.
type UnloadEnded struct {
	Engine   string
	Instance slots.Instance
	OK       bool
}

// EngineReported is a status report of an engine: its incarnation and the adapter
// instances that are loaded on it.
type EngineReported struct {
	Engine    string
	Boot      string // incarnation of the engine
	Instances []ReportedInstance
}

// ReportedInstance is an adapter instance in an engine's status report.
type ReportedInstance struct {
	Name    string
	Running int // requests that run on the instance
}

// EngineUnreachable reports that an engine answers neither on its open
// connection nor on a new one.
type EngineUnreachable struct{ Engine string }

// KeyArrived is a call with an idempotency key. Its sender takes this VM to
// be the keeper of the key (see View.Keeper).
type KeyArrived struct{ Call keys.Call }

// KeyEnded reports the outcome of a RunKeyed.
type KeyEnded struct {
	Key     keys.Key
	Outcome keys.Outcome
	Reason  keys.Reason
	Reply   keys.Reply
}

// PermitRequested is a peer's request for a load permit. It is ignored unless this VM
// is the granter.
type PermitRequested struct{ Request permit.Request }

// PermitReleased reports that a peer released a permit or cancelled the request
// for one.
type PermitReleased struct{ ID permit.ID }

// PermitGranted reports that a permit request of this VM was granted.
type PermitGranted struct{ ID permit.ID }

// Leave starts the graceful shutdown of this VM.
type Leave struct{}

func (Tick) event()              {}
func (VMListRead) event()        {}
func (PeerHeartbeat) event()     {}
func (PeerUnreachable) event()   {}
func (LogRead) event()           {}
func (LogFailed) event()         {}
func (DocumentsFetched) event()  {}
func (CallArrived) event()       {}
func (CallEnded) event()         {}
func (CallWithdrawn) event()     {}
func (PlainCrashed) event()      {}
func (PlainCompleted) event()    {}
func (LoadEnded) event()         {}
func (UnloadEnded) event()       {}
func (EngineReported) event()    {}
func (EngineUnreachable) event() {}
func (KeyArrived) event()        {}
func (KeyEnded) event()          {}
func (PermitRequested) event()   {}
func (PermitReleased) event()    {}
func (PermitGranted) event()     {}
func (Leave) event()             {}
