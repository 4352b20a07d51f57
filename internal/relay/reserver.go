package relay

import (
	"context"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/call"
	"github.com/tanagerlb/tanagerlb/pkg/engine"
	"github.com/tanagerlb/tanagerlb/pkg/roster"
)

// SlotRequest describes a request that needs a slot: the right to run one request
// in an engine's batch. An adapter slot is something else: room on an engine for
// one loaded adapter.
type SlotRequest struct {
	Service      string
	Engines      []roster.Upstream // candidate engines, sorted by id
	IDs          []string          // ids of Engines, in the same order
	Spare        *roster.Upstream  // spare engine that may load the base model if no candidate has a free slot in time; nil for none
	Exclude      map[string]bool   // ids of engines at which an earlier attempt failed
	Name         engine.Name       // model and adapter
	PromptParts  []call.Part       // sections of the prompt, in order
	PromptTokens int               // tokens in the prompt
	MaxTokens    int               // maximum number of tokens to generate
	KVCapacity   int               // capacity of an engine's KV cache, in tokens
	Urgency      int               // 0 is the most urgent
	Organisation string            // name of the caller's organisation; "" if there are none
	Objective    time.Time         // target time of the first event
	UsefulUntil  time.Time         // time after which a first event is useless
	Deadline     time.Time         // time after which the complete answer is useless
}

// Reserver reserves slots at engines by asking the VMs that schedule the engines.
type Reserver interface {
	// Reserve returns a slot, or the reason why there is none. The caller must call
	// the slot's Release function when the request has ended.
	Reserve(ctx context.Context, request SlotRequest) Reservation
}

// Reservation is the result of a SlotRequest: a slot, or why there is none.
type Reservation struct {
	Slot    *Slot          // reserved slot; nil if there is none
	Refusal engine.Refused // reason and expected waiting time if there is no slot
	Replies []string       // replies of the VMs that were asked, for logs
	Reuse   *PromptReuse   // how the engine asked first was chosen, for logs; nil if the prompt has no parts in common with others
}

// PromptReuse is how the engine that is asked first was chosen by what engines hold of
// the prompt.
type PromptReuse struct {
	Expected        int           // tokens that the engine was expected to hold
	Saved           time.Duration // time that reading them would take
	Cost, Otherwise time.Duration // weighed cost at that engine, and at the one that would have been asked otherwise
	Moved           bool          // these are two engines
	Kept            int           // tokens that the engine that granted the slot holds, as its holder says; -1 if not told
}

// Slot is the right to run one request in an engine's batch. It is held until
// Release is called.
type Slot struct {
	Upstream       roster.Upstream
	AdapterVersion int64                     // adapter version to run
	FirstEvent     func(after time.Duration) // must be called with the time from sending the request to its first event
	Silent         func()                    // may be called while the engine does not acknowledge the request
	Release        func(engine.Outcome)      // releases the slot and reports how the request ended
}
