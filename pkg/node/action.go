package node

import (
	"net/netip"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/crash"
	"github.com/tanagerlb/tanagerlb/pkg/docs"
	"github.com/tanagerlb/tanagerlb/pkg/keys"
	"github.com/tanagerlb/tanagerlb/pkg/member"
	"github.com/tanagerlb/tanagerlb/pkg/permit"
	"github.com/tanagerlb/tanagerlb/pkg/slots"
)

// Action is a side effect that the program around the Node must carry out. It is
// one of the types of this package that have a method action.
type Action interface{ action() }

// Follow starts to read a log stream from its oldest record on. The reading goes on
// until an Unfollow; each result comes back as a LogRead or LogFailed.
type Follow struct{ Stream string }

// Unfollow stops reading a log stream.
type Unfollow struct{ Stream string }

// Append appends a record to a log stream.
type Append struct {
	Stream string
	Data   []byte
}

// Probe sends a heartbeat request to a peer. The answer comes back as a
// PeerHeartbeat or PeerUnreachable.
type Probe struct{ VM member.VM }

// FetchDocuments asks a peer for the service documents that this VM lacks. It is
// used while the document stream cannot be read or was not yet read up to its
// tail, and when the peer has a newer version of a document.
type FetchDocuments struct{ VM member.VM }

// Poll requests a status report from an engine. The answer comes back as an
// EngineReported or EngineUnreachable.
type Poll struct {
	Engine  string
	Address netip.AddrPort
}

// Start runs a model call on a loaded adapter instance. The result comes back as a
// CallEnded.
type Start struct {
	ID        string
	Engine    string
	Address   netip.AddrPort
	Instance  slots.Instance
	LoadWait  time.Duration // time that the call waited for the instance to be loaded
	Boot      string        // incarnation of the engine
	BatchFill float64       // running requests as a share of the engine's batch, from 0 to 1
}

// Refuse rejects a model call that has not been started on an engine.
type Refuse struct {
	ID         string
	Reason     Reason
	RetryAfter time.Duration // suggested delay before a retry
}

// Load orders an engine to load an adapter instance. The result comes back as a
// LoadEnded.
type Load struct {
	Engine       string
	Address      netip.AddrPort
	Instance     slots.Instance
	FencingToken int64
}

// Unload orders an engine to unload an adapter instance. The result comes back as an
// UnloadEnded.
type Unload struct {
	Engine       string
	Address      netip.AddrPort
	Instance     slots.Instance
	FencingToken int64
}

// RequestPermit requests a load permit from the granter.
type RequestPermit struct {
	Granter member.VM
	Request permit.Request
}

// ReleasePermit releases a permit at the granter, or cancels the request for it.
type ReleasePermit struct {
	Granter member.VM
	ID      permit.ID
}

// GrantPermit tells a peer that its permit request was granted.
type GrantPermit struct{ ID permit.ID }

// RunKeyed executes a call that carries an idempotency key, once. The outcome comes
// back as a KeyEnded.
type RunKeyed struct{ Call keys.Call }

// Answer is the final response to a call that carries an idempotency key.
type Answer struct{ keys.Answer }

// ProposalDecided reports whether a proposed document was accepted.
type ProposalDecided struct{ docs.Verdict }

// RecordIgnored reports a log record that was skipped because it could not be
// decoded or applied.
type RecordIgnored struct {
	Stream string
	Err    error
}

// CrashDetected reports that an engine crashed, and which requests may have been the
// cause.
type CrashDetected struct {
	Engine   string
	Running  int                 // number of requests that were running on the engine
	Suspects int                 // number of these that were running at an earlier crash
	Blocked  []crash.Fingerprint // those that are blocked from now on
}

// ShutdownComplete reports that the graceful shutdown is complete.
type ShutdownComplete struct{}

func (Follow) action()           {}
func (Unfollow) action()         {}
func (Append) action()           {}
func (Probe) action()            {}
func (FetchDocuments) action()   {}
func (Poll) action()             {}
func (Start) action()            {}
func (Refuse) action()           {}
func (Load) action()             {}
func (Unload) action()           {}
func (RequestPermit) action()    {}
func (ReleasePermit) action()    {}
func (GrantPermit) action()      {}
func (RunKeyed) action()         {}
func (Answer) action()           {}
func (ProposalDecided) action()  {}
func (RecordIgnored) action()    {}
func (CrashDetected) action()    {}
func (ShutdownComplete) action() {}

// Reason tells why a model call was refused or failed. The reasons of an engine's
// scheduler (slots.Reason) are converted to a Reason with the same text.
type Reason string

// Reasons for which the owner of an engine refuses a model call. EngineCrashed is an
// exception: it is the reason for which a started call failed.
const (
	NotOwner      Reason = "not-owner"      // another VM owns the engine
	OwnerNotReady Reason = "owner-waits"    // the owner is new, and the lease of the previous owner may still be valid
	NoLease       Reason = "no-lease"       // the owner has no valid lease and does not take the log to be down for all VMs
	EngineDown    Reason = "engine-down"    // the engine does not answer, or has sent the owner no status report yet
	Blocked       Reason = "condemned"      // the request is blocked because it crashes engines
	Handover      Reason = "handover"       // the owner is giving the engine up or has lost it to another VM
	EngineCrashed Reason = "engine-crashed" // the engine crashed while it ran the request
)
