package node

import (
	"net/netip"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/docs"
	"github.com/tanagerlb/tanagerlb/pkg/keys"
	"github.com/tanagerlb/tanagerlb/pkg/member"
	"github.com/tanagerlb/tanagerlb/pkg/permit"
	"github.com/tanagerlb/tanagerlb/pkg/slots"
)

// Action is something that the VM has to do: one of the types below.
type Action interface{ action() }

// Follow reads a stream from its oldest record on, until Unfollow.
type Follow struct{ Stream string }

// Unfollow stops reading a stream.
type Unfollow struct{ Stream string }

// Append appends a record to a stream.
type Append struct {
	Stream string
	Data   []byte
}

// Probe asks a peer for a sign of life.
type Probe struct{ VM member.VM }

// Borrow asks a peer for documents, while the log cannot be read.
type Borrow struct{ VM member.VM }

// Poll asks an engine for its load report.
type Poll struct {
	Engine  string
	Address netip.AddrPort
}

// Start runs a model call on an instance.
type Start struct {
	ID       string
	Engine   string
	Address  netip.AddrPort
	Instance slots.Instance
	Stalled  time.Duration
	Boot     string  // incarnation of the engine
	Fill     float64 // of the engine's batch, from 0 to 1
}

// Refuse gives a model call up; it was not run.
type Refuse struct {
	ID     string
	Reason Reason
	After  time.Duration
}

// Load orders an engine to load an instance.
type Load struct {
	Engine   string
	Address  netip.AddrPort
	Instance slots.Instance
	Fence    int64
}

// Unload orders an engine to unload an instance.
type Unload struct {
	Engine   string
	Address  netip.AddrPort
	Instance slots.Instance
	Fence    int64
}

// AskPermit asks the granter for a permit.
type AskPermit struct {
	Granter member.VM
	Ask     permit.Ask
}

// ReturnPermit gives a permit back to the granter.
type ReturnPermit struct {
	Granter member.VM
	ID      permit.ID
}

// Grant answers a peer's wish for a permit.
type Grant struct{ ID permit.ID }

// Run runs a plain call once.
type Run struct{ Call keys.Call }

// Answer is the final answer to a plain call.
type Answer struct{ keys.Answer }

// Judged is the verdict on a proposed document.
type Judged struct{ docs.Verdict }

// Ignored tells of a record that could not be used.
type Ignored struct {
	Stream string
	Err    error
}

// Left tells that the graceful shutdown is complete.
type Left struct{}

func (Follow) action()       {}
func (Unfollow) action()     {}
func (Append) action()       {}
func (Probe) action()        {}
func (Borrow) action()       {}
func (Poll) action()         {}
func (Start) action()        {}
func (Refuse) action()       {}
func (Load) action()         {}
func (Unload) action()       {}
func (AskPermit) action()    {}
func (ReturnPermit) action() {}
func (Grant) action()        {}
func (Run) action()          {}
func (Answer) action()       {}
func (Judged) action()       {}
func (Ignored) action()      {}
func (Left) action()         {}

// Reason tells why a model call was refused. Those of the scheduler are
// reasons too.
type Reason string

// Reasons for refusing a model call at the owner of an engine.
const (
	NotOwner      Reason = "not-owner"      // another VM owns the engine
	OwnerNotReady Reason = "owner-waits"    // the lease of the owner before may still hold
	NoLease       Reason = "no-lease"       // the owner is cut off
	EngineDown    Reason = "engine-down"    // the engine does not answer
	Condemned     Reason = "condemned"      // the request crashes engines
	Handover      Reason = "handover"       // the engine is being handed over
	EngineCrashed Reason = "engine-crashed" // the engine crashed under the request
)
