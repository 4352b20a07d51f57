package relay

import (
	"context"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/call"
	"github.com/tanagerlb/tanagerlb/pkg/engine"
	"github.com/tanagerlb/tanagerlb/pkg/roster"
)

// Ask describes a request that needs a slot at an engine.
type Ask struct {
	Service   string
	Engines   []roster.Upstream // candidates, sorted by id
	IDs       []string          // ids of Engines, in the same order
	More      *roster.Upstream  // spare engine that may load the base model if no candidate has a free slot in time; nil for none
	Avoid     map[string]bool   // ids of engines at which an earlier attempt failed
	Name      engine.Name       // model and adapter
	Parts     []call.Part       // pieces of the prompt, in order
	Prompt    int               // tokens in the prompt
	Output    int               // maximum number of tokens to generate
	Urgency   int               // 0 is the most urgent
	Objective time.Time         // target time of the first event
	Latest    time.Time         // time after which a first event is useless
	Deadline  time.Time         // time after which the complete answer is useless
}

// Desk reserves slots at engines.
type Desk interface {
	// Reserve returns a slot, or why there is none. The caller must release the
	// slot by its End function.
	Reserve(ctx context.Context, a Ask) Reservation
}

// Reservation is the result of an Ask.
type Reservation struct {
	Place   *Place         // reserved slot; nil if there is none
	Refused engine.Refused // reason if there is no slot
	Asked   []string       // answers of the VMs that were asked, for logs
}

// Place is a reserved slot at an engine.
type Place struct {
	Upstream roster.Upstream
	Version  int64                     // adapter version to run
	Began    func(after time.Duration) // reports the time from the send to the first event
	End      func(engine.Outcome)      // releases the slot
}
