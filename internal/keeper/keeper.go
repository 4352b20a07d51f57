// Package keeper runs calls that carry an idempotency key (keyed calls) at the VM
// that keeps the key. That VM runs the call of each key at most once.
package keeper

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/metric"
	"github.com/tanagerlb/tanagerlb/internal/plain"
	"github.com/tanagerlb/tanagerlb/pkg/crash"
	"github.com/tanagerlb/tanagerlb/pkg/docs"
	"github.com/tanagerlb/tanagerlb/pkg/keys"
	"github.com/tanagerlb/tanagerlb/pkg/node"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
)

// Control is the control loop of this VM, which decides whether a call is run.
type Control interface {
	Post(e node.Event)
	Ask(id string, e node.Event) <-chan node.Action
	Forget(id string)
	View() *node.View
}

// Request is a keyed call.
type Request struct {
	ID           string // unique among all attempts of all calls
	Service      string
	Call         string
	Key          keys.Key
	Body         string
	Fingerprint  uint64 // fingerprint of the request's content
	FirstAttempt bool   // the caller has not sent the key before
	Deadline     time.Time
}

// Config holds the dependencies of a Keeper.
type Config struct {
	Control  Control
	Services plain.Services
	Metrics  *metric.Set
}

// Keeper runs the keyed calls whose keys this VM keeps.
type Keeper struct {
	config Config
	mu     sync.Mutex
	calls  map[string]Request // calls whose callers still wait, by ID
}

// New returns a Keeper without calls in progress.
func New(c Config) *Keeper { return &Keeper{config: c, calls: map[string]Request{}} }

// answerGrace is how long the keeper still waits for the outcome of a call after
// the call's deadline.
const answerGrace = 500 * time.Millisecond

// Invoke runs a keyed call and returns its final answer. If there is no answer
// within answerGrace after the deadline, the outcome is unknown.
func (k *Keeper) Invoke(ctx context.Context, r Request) keys.Answer {
	k.mu.Lock()
	k.calls[r.ID] = r
	k.mu.Unlock()
	defer k.drop(r.ID)
	ctx, cancel := context.WithDeadline(ctx, r.Deadline.Add(answerGrace))
	defer cancel()
	call := keys.Call{ID: r.ID, Key: r.Key, Fingerprint: r.Fingerprint, FirstAttempt: r.FirstAttempt, Deadline: r.Deadline}
	reply := k.config.Control.Ask(r.ID, node.KeyArrived{Call: call})
	select {
	case a := <-reply:
		if answer, ok := a.(node.Answer); ok {
			return answer.Answer
		}
	case <-ctx.Done():
		k.config.Control.Forget(r.ID)
	}
	return keys.Answer{ID: r.ID, Outcome: keys.Unknown, Reason: keys.Timeout}
}

func (k *Keeper) drop(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.calls, id)
}

// Run sends a call to its service in the background and reports the outcome to the
// control loop. If the caller has already gone, the call is not sent. If the caller
// goes later, the call continues.
func (k *Keeper) Run(ctx context.Context, call keys.Call) {
	k.mu.Lock()
	r, waiting := k.calls[call.ID]
	k.mu.Unlock()
	r.Key = call.Key
	go (&job{keeper: k, request: r, abandoned: !waiting}).run(ctx)
}

// job sends one call to its service.
type job struct {
	keeper    *Keeper
	request   Request
	abandoned bool // the caller had gone before the run; the call is not sent
}

func (j *job) run(ctx context.Context) {
	ended := node.KeyEnded{Outcome: keys.NotRun, Reason: keys.Timeout}
	if !j.abandoned {
		ended = j.send(ctx)
	}
	ended.Key = j.request.Key
	j.keeper.config.Control.Post(ended)
}

// send tries the upstreams in turn until the call may have reached one of them.
func (j *job) send(ctx context.Context) node.KeyEnded {
	ctx, cancel := context.WithDeadline(ctx, j.request.Deadline)
	defer cancel()
	call := plain.Call{Name: j.request.Call, Key: j.request.Key.Text, Body: j.request.Body, Fingerprint: crash.Fingerprint(j.request.Fingerprint)}
	for _, address := range j.upstreams() {
		reply, err := j.keeper.config.Services.Call(ctx, address, call)
		switch {
		case err == nil:
			return node.KeyEnded{Outcome: keys.Ran, Reply: keys.Reply(reply)}
		case errors.Is(err, plain.ErrNotSent):
			j.keeper.config.Metrics.DependencyFailed("upstream")
		default:
			j.keeper.config.Metrics.DependencyFailed("upstream")
			return node.KeyEnded{Outcome: keys.Unknown, Reason: keys.UpstreamBroken}
		}
	}
	return node.KeyEnded{Outcome: keys.NotRun, Reason: keys.NoUpstream}
}

// upstreams returns the addresses of the service's upstreams in the order in which
// they are tried. It returns none if this VM does not have the
// service document (the configuration of the service).
func (j *job) upstreams() []netip.AddrPort {
	revision, ok := j.keeper.config.Control.View().Revisions[j.request.Service]
	if !ok {
		return nil
	}
	return Upstreams(revision, j.request.Key.Text)
}

// Upstreams returns the addresses of a plain service's upstreams in the order in
// which a call tries them. The seed determines the order, so that calls with
// different seeds are spread over the upstreams.
func Upstreams(revision *docs.Revision, seed string) []netip.AddrPort {
	byName := make(map[string]netip.AddrPort, len(revision.Document.Upstreams))
	names := make([]string, 0, len(revision.Document.Upstreams))
	for _, u := range revision.Document.Upstreams {
		byName[u.Name] = u.Address
		names = append(names, u.Name)
	}
	addresses := make([]netip.AddrPort, 0, len(names))
	for _, name := range rank.Order(seed, names) {
		addresses = append(addresses, byName[name])
	}
	return addresses
}
