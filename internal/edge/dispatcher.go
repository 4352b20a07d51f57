package edge

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/internal/relay"
	"github.com/tanagerlb/tanagerlb/pkg/engine"
	"github.com/tanagerlb/tanagerlb/pkg/gossip"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
	"github.com/tanagerlb/tanagerlb/pkg/reuse"
	"github.com/tanagerlb/tanagerlb/pkg/roster"
)

const (
	// resendInterval is the time after which a slot request without any reply is
	// sent again.
	resendInterval = 50 * time.Millisecond
	// holderTimeout plus the current resend interval (resendInterval, or
	// renewInterval once the request is queued) is how long a holder may be silent
	// before it is skipped. The time counts from the first send, or from the last
	// reply that the request is queued.
	holderTimeout = 160 * time.Millisecond
	// quarantineTime is how long a VM sends no slot requests to a holder that did
	// not answer.
	quarantineTime = time.Second
	// renewInterval is the time after which a slot request that the holder has
	// queued is sent again.
	renewInterval = 250 * time.Millisecond
	// maxCandidates bounds the number of preferred engines that are tried for one
	// request, and maxSubstitutes how many more are if none of them takes requests.
	maxCandidates  = 3
	maxSubstitutes = 3
)

// fleetInfo tells which VM is the holder of each engine (the VM that schedules
// it), and which version of each adapter is the newest.
type fleetInfo struct {
	vms      map[string]gossip.VM  // holder by engine
	versions map[engine.Name]int64 // newest adapter versions, as set by operators
}

// dispatcher reserves slots for the requests that this VM receives, by asking the
// holders of engines. A slot is the right to run one request in an engine's batch.
type dispatcher struct {
	self             gossip.VM
	transport        *transport
	post             func(event)
	logger           *zap.Logger
	takePace         func(ctx context.Context, upstream, organisation string) time.Duration // see relay.Pacer
	fleet            atomic.Pointer[fleetInfo]
	sequence         atomic.Uint64
	pending          replies[string, *slotReply] // by slot request ID
	mu               sync.Mutex
	quarantinedUntil map[string]time.Time    // time until which a VM gets no slot requests, by name
	waits            map[string]reportedWait // time to first token by engine, as its holder reported last
	spreads          map[engine.Name]float64 // number of engines across which an adapter's requests are spread, a moving average of what holders reported; 1 if absent
	prefixes         *reuse.Table            // which engines hold which beginnings of prompts
	typicalWait      time.Duration           // moving average of the waits that holders reported
}

// maxSpreads bounds the number of adapters whose spread is stored. An adapter's
// spread is the number of engines across which its requests are spread.
const maxSpreads = 5000

// reportedWait is an expected time to first token that a holder reported.
type reportedWait struct {
	wait     time.Duration
	at       time.Time
	rate     float64 // prompt tokens read per millisecond, as reported with a prompt that has shared parts; 0 if not yet
	reserved int     // tokens of the KV cache that running requests have reserved, reported likewise
}

// typicalWeight is the weight of a reported wait in the moving average of all.
const typicalWeight = 0.05

// maxWaitAge is the age up to which a reported wait is used.
const maxWaitAge = reuse.MaxWaitAge

func newDispatcher(self gossip.VM, t *transport, post func(event), logger *zap.Logger) *dispatcher {
	d := &dispatcher{self: self, transport: t, post: post, logger: logger, quarantinedUntil: map[string]time.Time{}, waits: map[string]reportedWait{}, spreads: map[engine.Name]float64{}, prefixes: reuse.NewTable(), typicalWait: defaultWait}
	d.fleet.Store(&fleetInfo{})
	return d
}

// reservationAttempt is the state of an attempt to reserve a slot for one request.
type reservationAttempt struct {
	*dispatcher
	known   *fleetInfo
	request relay.SlotRequest
	tried   []string     // engines tried and their replies, for logs
	reuse   *promptReuse // how the engine asked first was chosen; nil if no other request may share a part of the prompt
	lost    bool         // the engine asked last has shut down, or its holder has changed or does not answer
}

// Reserve implements relay.Reserver. If the engine asked last has shut down, or
// if its holder has changed or does not answer, Reserve tries once more, with
// the holders known by then.
func (d *dispatcher) Reserve(ctx context.Context, request relay.SlotRequest) relay.Reservation {
	r := &reservationAttempt{dispatcher: d, known: d.fleet.Load(), request: request}
	slot, refusal := r.slot(ctx)
	if slot == nil && r.lost && ctx.Err() == nil {
		r.known = d.fleet.Load()
		slot, refusal = r.slot(ctx)
	}
	if slot == nil {
		refusal.Wait = refusal.ReturnAfter(time.Until(request.Deadline), rand.Float64()) //nolint:gosec // only spreads load
	}
	return relay.Reservation{Slot: slot, Refusal: refusal, Replies: r.tried, Reuse: r.reuseReport()}
}

// slot asks the holders of the preferred engines in turn. If there are several
// of these engines, the holders may not queue the request yet. If no holder
// grants a slot, but some refuse only because another engine is likely faster
// (engine.Busy), slot may also ask the holder of a less busy engine. It then
// asks the holder of the engine with the shortest wait for a final decision,
// which may be to queue the request.
func (r *reservationAttempt) slot(ctx context.Context) (*relay.Slot, engine.Refused) {
	slot, best, refusal := r.askPreferred(ctx)
	if slot != nil {
		return slot, refusal
	}
	if best.upstream == nil {
		if slot := r.anyDirectSlot(ctx); slot != nil {
			return slot, refusal
		}
		return r.slotWithLoad(ctx, refusal)
	}
	if u := r.lessBusyEngine(best); u != nil {
		if v := r.query(ctx, u, false, false); v != nil && v.slot != nil {
			return v.slot, refusal
		} else if v != nil && v.refusal.Reason == engine.Busy && v.refusal.Wait < best.wait {
			best.upstream = u
		}
	}
	v := r.query(ctx, best.upstream, true, false)
	switch {
	case v == nil:
		r.lost = true
	case v.slot != nil:
		return v.slot, refusal
	default:
		refusal = refusal.Then(v.refusal)
		r.lost = v.refusal.Reason == engine.Closed
	}
	return r.slotWithLoad(ctx, refusal)
}

// busyEngine is the engine with the shortest wait of those that were asked.
type busyEngine struct {
	upstream       *roster.Upstream // nil if none is only busy
	wait, loadWait time.Duration
	asked          []roster.Upstream
}

// askPreferred asks the holders of the preferred engines in turn, and of substitutes if none of the
// preferred ones takes requests. It returns a slot, or the engine with the shortest wait.
func (r *reservationAttempt) askPreferred(ctx context.Context) (*relay.Slot, busyEngine, engine.Refused) {
	refusal := engine.Refused{Reason: engine.Closed}
	var best busyEngine
	preferred, homeID := r.preferred(r.request)
	candidates, sound := r.byReuse(time.Now(), preferred, homeID), false
	for i := range candidates {
		if i == maxCandidates && sound {
			break
		}
		u := &candidates[i]
		best.asked = candidates[:i+1]
		v := r.query(ctx, u, len(candidates) == 1, i == 0)
		switch {
		case v == nil:
			if slot := r.directSlot(ctx, r.known, u, r.request); slot != nil {
				return slot, best, refusal
			}
		case v.slot != nil:
			return v.slot, best, refusal
		default:
			refusal = refusal.Then(v.refusal)
			sound = sound || v.refusal.Reason != engine.Unhealthy && v.refusal.Reason != engine.Closed
			if v.refusal.Reason == engine.Busy && (best.upstream == nil || v.refusal.Wait < best.wait) {
				best.upstream, best.wait, best.loadWait = u, v.refusal.Wait, v.refusal.LoadWait
			}
		}
	}
	return nil, best, refusal
}

// slotWithLoad asks for a slot at the spare engine, which first loads the base
// model. It is called when the engines that have the model loaded have no
// slot in time.
func (r *reservationAttempt) slotWithLoad(ctx context.Context, refusal engine.Refused) (*relay.Slot, engine.Refused) {
	if r.request.Spare == nil || r.request.Exclude[r.request.Spare.ID] || r.lost || ctx.Err() != nil {
		return nil, refusal
	}
	v := r.query(ctx, r.request.Spare, true, false)
	switch {
	case v == nil:
		return nil, refusal
	case v.slot == nil:
		return nil, refusal.Then(v.refusal)
	default:
		return v.slot, refusal
	}
}

// anyDirectSlot returns a slot of any engine that has the adapter and no
// holder. Engines have no holder after a restart of all VMs, for example. The
// search starts at a random engine, so that the requests are spread across the
// engines.
func (r *reservationAttempt) anyDirectSlot(ctx context.Context) *relay.Slot {
	begin := rand.IntN(len(r.request.Engines) + 1) //nolint:gosec // only spreads load
	for i := range r.request.Engines {
		u := &r.request.Engines[(begin+i)%len(r.request.Engines)]
		if _, held := r.known.vms[u.ID]; held || r.request.Exclude[u.ID] {
			continue
		}
		if slot := r.directSlot(ctx, r.known, u, r.request); slot != nil {
			r.tried = append(r.tried, u.ID+" without a holder")
			return slot
		}
	}
	return nil
}

// lessBusyEngine returns a less busy engine than the best of those that were asked, or nil.
// Since that engine may have to load the adapter, lessBusyEngine returns one only if the wait at
// the best one is more than maxWaitShare of the time left to the objective.
func (r *reservationAttempt) lessBusyEngine(best busyEngine) *roster.Upstream {
	if best.wait <= time.Duration(maxWaitShare*float64(time.Until(r.request.Objective))) {
		return nil
	}
	return r.pickLessBusy(best.asked, best.wait-best.loadWait)
}

// pickLessBusy returns an engine whose recently reported wait is below half of
// minWait, or nil if there is none. It skips the candidates and the excluded
// engines. The choice among the engines with the shortest waits is random, so
// that the VMs do not all choose the same engine.
func (r *reservationAttempt) pickLessBusy(candidates []roster.Upstream, minWait time.Duration) *roster.Upstream {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var lessBusy []*roster.Upstream
	for i := range r.request.Engines {
		u := &r.request.Engines[i]
		w, ok := r.waits[u.ID]
		tried := slices.ContainsFunc(candidates, func(c roster.Upstream) bool { return c.ID == u.ID })
		if ok && !tried && !r.request.Exclude[u.ID] && now.Sub(w.at) < maxWaitAge && w.wait < minWait/2 {
			lessBusy = append(lessBusy, u)
		}
	}
	if len(lessBusy) == 0 {
		return nil
	}
	slices.SortFunc(lessBusy, func(a, b *roster.Upstream) int { return cmp.Compare(r.waits[a.ID].wait, r.waits[b.ID].wait) })
	return lessBusy[rand.IntN(min(len(lessBusy), 1+len(r.request.Engines)/enginesPerChoice))] //nolint:gosec // only spreads load
}

// maxWaitShare is a share of the time left to the objective. Only if the shortest
// wait at the candidate engines is longer than this is another engine asked, which
// may have to load the adapter. Such a load mostly serves this one request, because
// later requests for the adapter again ask the candidates first.
const maxWaitShare = 0.6

// enginesPerChoice sets how many engines pickLessBusy chooses from: the 1 +
// n/enginesPerChoice engines with the shortest waits, where n is the number of
// engines that have the model.
const enginesPerChoice = 24

// query calls requestSlot for an engine and records the reply for the log.
// mayQueue lets the holder queue the request. firstChoice marks the first
// engine that is asked.
func (r *reservationAttempt) query(ctx context.Context, u *roster.Upstream, mayQueue, firstChoice bool) *decision {
	v := r.requestSlot(ctx, r.known, u, r.request, mayQueue, firstChoice)
	if v != nil && r.reuse != nil {
		r.learn(time.Now(), u, v)
	}
	switch {
	case v == nil:
		r.tried = append(r.tried, u.ID+" silent")
	case v.slot != nil:
		r.tried = append(r.tried, u.ID+" granted")
	default:
		r.tried = append(r.tried, fmt.Sprintf("%s %s %s", u.ID, v.refusal.Reason, v.refusal.Wait.Round(time.Millisecond)))
	}
	return v
}

// decision is a holder's final reply: a slot, or the reason for a refusal.
type decision struct {
	slot    *relay.Slot
	refusal engine.Refused
	unread  int // tokens of the prompt that the engine does not hold; 0 if not told
}

// preferred returns the engines to ask, the most preferred first. Rendezvous
// hashing gives an adapter the same engines each time. A request for a base
// model without an adapter is hashed by the beginning of its prompt too, so
// that requests with the same beginning can reuse the cached prefix. The second
// result is the home of the prompt's beginning; see home.
func (d *dispatcher) preferred(request relay.SlotRequest) ([]roster.Upstream, string) {
	ids := request.IDs
	if len(request.Exclude) > 0 {
		ids = slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return request.Exclude[id] })
	}
	key := request.Name.Model + "/" + request.Name.Adapter
	if request.Name.Adapter == "" && len(request.PromptParts) > 1 {
		key += strconv.FormatUint(request.PromptParts[1].ID, 16)
	}
	spread := d.spread(request.Name)
	top := rank.Top(key, ids, max(spread, maxCandidates+maxSubstitutes))
	beginning := home(request, top[:min(spread, len(top))])
	d.sortByWait(top[:min(spread, len(top))])
	var preferred []roster.Upstream
	for _, id := range top[:min(maxCandidates+maxSubstitutes, len(top))] {
		i, ok := slices.BinarySearchFunc(request.Engines, id, func(u roster.Upstream, id string) int { return strings.Compare(u.ID, id) })
		if ok {
			preferred = append(preferred, request.Engines[i])
		}
	}
	return preferred, beginning
}

// sortByWait brings the least busy of a random sample of the engines to the
// front: it shuffles the engines, then sorts the first 2*maxCandidates by their
// reported waits.
func (d *dispatcher) sortByWait(ids []string) {
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	expected := func(id string) time.Duration {
		if w := d.waits[id]; now.Sub(w.at) < maxWaitAge {
			doubt := float64(now.Sub(w.at)) / float64(maxWaitAge)
			return time.Duration((1-doubt)*float64(w.wait) + doubt*float64(d.typicalWait))
		}
		return d.typicalWait
	}
	sample := ids[:min(len(ids), 2*maxCandidates)]
	slices.SortStableFunc(sample, func(a, b string) int { return cmp.Compare(expected(a), expected(b)) })
}

// defaultWait is the first value of the typical wait, which is assumed for an engine
// without a recently reported one. It is about the wait at an engine that is running
// requests but has free slots.
const defaultWait = reuse.DefaultWait

// directSlot returns a slot without asking a holder, for an engine that has no
// holder or whose holder does not answer. The engine must have the base model
// and, if the request names an adapter, that adapter in a new enough version;
// otherwise directSlot returns nil. If the engine has no holder, no VM can
// order the adapter to be unloaded.
func (d *dispatcher) directSlot(ctx context.Context, known *fleetInfo, u *roster.Upstream, request relay.SlotRequest) *relay.Slot {
	for _, m := range u.Models {
		if m.Name != request.Name.Model {
			continue
		}
		if request.Name.Adapter == "" {
			return d.unreservedSlot(ctx, u, request.Organisation, 0)
		}
		for _, a := range m.Adapters {
			if a.Name == request.Name.Adapter && a.Version >= known.versions[request.Name] {
				return d.unreservedSlot(ctx, u, request.Organisation, a.Version)
			}
		}
	}
	return nil
}

// unreservedSlot returns a slot that no holder has granted; the holder of the
// engine, if there is one, does not count it. It returns nil if the engine's limit does not
// allow a request.
func (d *dispatcher) unreservedSlot(ctx context.Context, u *roster.Upstream, organisation string, version int64) *relay.Slot {
	if d.takePace(ctx, u.ID, organisation) > 0 {
		return nil
	}
	return &relay.Slot{Upstream: *u, AdapterVersion: version, FirstEvent: func(time.Duration) {}, Silent: func() {}, Release: func(engine.Outcome) {}}
}

// requestSlot asks the holder of an engine for a slot, and waits while the
// request is queued there. It returns nil if no holder is known, or if the
// holder does not answer.
func (d *dispatcher) requestSlot(ctx context.Context, known *fleetInfo, u *roster.Upstream, request relay.SlotRequest, mayQueue, firstChoice bool) *decision {
	holder, ok := known.vms[u.ID]
	if !ok || d.isQuarantined(holder.Name) {
		return nil
	}
	id := d.newID()
	replies, done := d.pending.expect(id)
	defer done()
	sent, acknowledged := time.Now(), false
	for {
		now := time.Now()
		d.deliver(holder, packet{SlotRequest: &slotRequest{
			Engine: u.ID, ID: id, Model: request.Name.Model, Adapter: request.Name.Adapter, PromptTokens: request.PromptTokens, MaxTokens: request.MaxTokens, PromptParts: request.PromptParts,
			Urgency: request.Urgency, Objective: request.Objective.Sub(now), UsefulUntil: request.UsefulUntil.Sub(now), Deadline: request.Deadline.Sub(now), MayQueue: mayQueue,
			FirstChoice: firstChoice, Spread: d.spread(request.Name), NewestVersion: known.versions[request.Name],
		}})
		firstChoice = false // requests sent again must not count twice as demand
		interval := resendInterval
		if acknowledged {
			interval = renewInterval
		}
		v, queued := d.await(ctx, replies, interval)
		switch {
		case ctx.Err() != nil:
			d.deliver(holder, packet{SlotRelease: &slotRelease{Engine: u.ID, ID: id}})
			return &decision{refusal: engine.Refused{Reason: engine.TooLate}}
		case queued:
			acknowledged, sent = true, time.Now()
		case v == nil && time.Since(sent) > holderTimeout+interval:
			d.logger.Info("desk: holder does not answer", zap.String("holder", holder.Name), zap.String("upstream", u.ID))
			d.quarantine(holder.Name)
			d.deliver(holder, packet{SlotRelease: &slotRelease{Engine: u.ID, ID: id}})
			return nil
		case v == nil:
		case v.Granted:
			d.storeSpread(request.Name, v.Spread)
			return &decision{slot: d.granted(holder, *u, id, v.Version), unread: v.Unread}
		default:
			d.storeSpread(request.Name, v.Spread)
			return &decision{unread: v.Unread, refusal: engine.Refused{Reason: v.Reason, Wait: v.Wait, LoadWait: v.LoadWait}}
		}
	}
}

// storeSpread adds the spread of an adapter that a holder reported to the moving
// average. A spread of 0 is ignored: it means that the reply contained none.
func (d *dispatcher) storeSpread(n engine.Name, spread int) {
	if spread == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.spreads) >= maxSpreads {
		clear(d.spreads)
	}
	next := max(d.spreads[n], 1)
	next += spreadWeight * (float64(spread) - next)
	if next < 1.05 { // it rounds to 1, and the entry is not needed
		delete(d.spreads, n)
		return
	}
	d.spreads[n] = next
}

// spreadWeight is the weight of a spread that a holder tells in the moving average: the
// holders of the engines across which an adapter is spread count different rates.
const spreadWeight = 0.3

// spread returns the number of engines across which an adapter's requests are
// spread.
func (d *dispatcher) spread(n engine.Name) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(int(math.Round(d.spreads[n])), 1)
}

// newID returns a slot request ID that is unique among all VMs.
func (d *dispatcher) newID() string {
	return fmt.Sprintf("%s%s%x", senderOf(d.self), idSeparator, d.sequence.Add(1))
}

// idSeparator separates the parts of the id of a slot request.
const idSeparator = "."

// senderOf returns what the ids of the slot requests of one run of a VM's process begin with.
func senderOf(vm gossip.VM) string { return fmt.Sprintf("%s%s%x", vm.Name, idSeparator, vm.Boot) }

// senderOfID returns which run of a VM's process sent a slot request.
func senderOfID(id string) string { return id[:max(strings.LastIndex(id, idSeparator), 0)] }

// await returns the final reply to a slot request, or nil if none came in time,
// and whether the request is queued.
func (d *dispatcher) await(ctx context.Context, replies <-chan *slotReply, interval time.Duration) (final *slotReply, queued bool) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case v := <-replies:
			if !v.Queued {
				return v, false
			}
			if !queued {
				queued = true
				timer.Reset(renewInterval)
			}
		case <-timer.C:
			return nil, queued
		case <-ctx.Done():
			return nil, queued
		}
	}
}

func (d *dispatcher) granted(holder gossip.VM, u roster.Upstream, id string, version int64) *relay.Slot {
	return &relay.Slot{
		Upstream: u, AdapterVersion: version,
		FirstEvent: func(after time.Duration) {
			d.deliver(holder, packet{FirstToken: &firstToken{Engine: u.ID, ID: id, Elapsed: after}})
		},
		Silent: func() {
			d.deliver(holder, packet{SlotSilent: &slotSilent{Engine: u.ID, ID: id}})
		},
		Release: func(o engine.Outcome) {
			d.deliver(holder, packet{SlotRelease: &slotRelease{Engine: u.ID, ID: id, Outcome: o}})
		},
	}
}

// deliver sends a packet to the holder of an engine, which may be this VM.
func (d *dispatcher) deliver(holder gossip.VM, p packet) {
	if holder.Name == d.self.Name {
		d.post(packetReceived{packet: p})
		return
	}
	d.transport.send(holder.Peer, p)
}

// handleReply stores the wait that a holder reported, and passes the reply on to
// the waiting request.
func (d *dispatcher) handleReply(v *slotReply) {
	if v.Engine != "" {
		d.mu.Lock()
		d.typicalWait += time.Duration(typicalWeight * float64(v.FirstTokenWait-d.typicalWait))
		w := d.waits[v.Engine]
		w.wait, w.at = v.FirstTokenWait, time.Now()
		if v.Unread > 0 {
			w.rate, w.reserved = float64(v.Rate), v.Reserved
		}
		d.waits[v.Engine] = w
		d.mu.Unlock()
	}
	d.pending.pass(v.ID, v)
}

func (d *dispatcher) quarantine(vm string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.quarantinedUntil[vm] = time.Now().Add(quarantineTime)
}

func (d *dispatcher) isQuarantined(vm string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.quarantinedUntil[vm])
}

// reply sends a reply to the VM that sent the slot request. An invalid address
// stands for this VM.
func (d *dispatcher) reply(to netip.AddrPort, v *slotReply) {
	if !to.IsValid() {
		d.handleReply(v)
		return
	}
	d.transport.send(to, packet{SlotReply: v})
}
