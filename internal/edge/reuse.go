package edge

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/relay"
	"github.com/tanagerlb/tanagerlb/pkg/call"
	"github.com/tanagerlb/tanagerlb/pkg/engine"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
	"github.com/tanagerlb/tanagerlb/pkg/reuse"
	"github.com/tanagerlb/tanagerlb/pkg/roster"
)

// promptReuse is how the engine that is asked first was chosen for a prompt that has
// parts in common with others.
type promptReuse struct {
	prompt reuse.Prompt
	home   string // engine that all VMs ask for the prompt's beginning if they know of none that holds it
	report relay.PromptReuse
}

// sharesParts reports whether other prompts may have the beginning of a prompt. The
// last part belongs to the request alone.
func sharesParts(parts []call.Part) bool { return len(parts) > 1 }

// home returns the engine, of those across which the requests for an adapter are
// spread, that all VMs ask first for the same beginning of a prompt, or "" if the
// prompt has no parts in common with others.
func home(request relay.SlotRequest, spread []string) string {
	if !sharesParts(request.PromptParts) || len(spread) == 0 {
		return ""
	}
	if len(spread) == 1 {
		return spread[0]
	}
	var key []byte
	for _, part := range request.PromptParts[:len(request.PromptParts)-1] {
		key = strconv.AppendUint(key, part.ID, 16)
		key = append(key, ',')
	}
	return rank.First(string(key), spread)
}

// byReuse moves the engine with the lowest cost to the front of the preferred ones:
// the first of these, the home of the prompt's beginning, or an engine that is known
// to hold a part of the prompt.
func (r *reservationAttempt) byReuse(now time.Time, preferred []roster.Upstream, homeID string) []roster.Upstream {
	r.reuse = nil
	if homeID == "" || len(preferred) == 0 {
		return preferred
	}
	x := &promptReuse{home: homeID, prompt: reuse.NewPrompt(r.request.Name.Model, r.request.Name.Adapter, r.request.PromptTokens, r.request.MaxTokens, r.request.PromptParts)}
	r.reuse = x
	engines, candidates, typical := r.reuseCandidates(now, x, preferred)
	random := rand.Float64() //nolint:gosec // only spreads load
	order, costs := reuse.Order(x.prompt, r.request.Objective.Sub(now), typical, candidates, random)
	best := costs[order[0]]
	x.report = relay.PromptReuse{Expected: int(best.Held), Saved: best.Saved, Cost: best.Total(), Otherwise: costs[0].Total(), Moved: order[0] > 0, Kept: -1}
	ordered := make([]roster.Upstream, 0, maxCandidates+maxSubstitutes)
	for _, i := range order[:min(len(order), maxCandidates)] {
		ordered = append(ordered, *engines[i])
	}
	for _, u := range preferred { // substitutes
		if len(ordered) < maxCandidates+maxSubstitutes && !slices.ContainsFunc(ordered, func(o roster.Upstream) bool { return o.ID == u.ID }) {
			ordered = append(ordered, u)
		}
	}
	return ordered
}

// reuseCandidates returns the engines that byReuse weighs and what is known of them: the
// first preferred ones, the home, and those that are known to hold a part of the prompt.
// It also returns the typical wait.
func (r *reservationAttempt) reuseCandidates(now time.Time, x *promptReuse, preferred []roster.Upstream) ([]*roster.Upstream, []reuse.Candidate, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	spread := max(int(math.Round(r.spreads[r.request.Name])), 1)
	holdings := r.prefixes.Holdings(now, x.prompt, r.currentState)
	engines := make([]*roster.Upstream, 0, len(holdings)+maxCandidates+1)
	candidates := make([]reuse.Candidate, 0, len(holdings)+maxCandidates+1)
	add := func(u *roster.Upstream, spreadTo bool) {
		w := r.waits[u.ID]
		c := reuse.Candidate{Wait: w.wait, WaitAge: now.Sub(w.at), Rate: w.rate, Reserved: w.reserved, Capacity: r.request.KVCapacity, Loaded: spreadTo || r.request.Name.Adapter == ""}
		if u.ID == x.home {
			c.Home = r.prefixes.Accuracy()
		}
		if i := slices.IndexFunc(holdings, func(h reuse.Holding) bool { return h.Engine == u.ID }); i >= 0 {
			c.Held, c.HeldAge, c.Used, c.UsedAge = holdings[i].Tokens, holdings[i].Age, true, holdings[i].Loaded
		}
		engines, candidates = append(engines, u), append(candidates, c)
	}
	known := func(id string) bool {
		return slices.ContainsFunc(engines, func(u *roster.Upstream) bool { return u.ID == id })
	}
	for i := range preferred[:min(len(preferred), maxCandidates)] {
		add(&preferred[i], i < spread)
	}
	if u, ok := r.candidate(x.home); ok && !known(x.home) {
		add(u, true)
	}
	for _, h := range holdings {
		if u, ok := r.candidate(h.Engine); ok && h.Tokens > 0 && !known(h.Engine) {
			add(u, false)
		}
	}
	return engines, candidates, r.typicalWait
}

// reuseReport returns how the engine that was asked first was chosen, for logs, or nil
// if the prompt has no parts in common with others.
func (r *reservationAttempt) reuseReport() *relay.PromptReuse {
	if r.reuse == nil {
		return nil
	}
	return &r.reuse.report
}

// candidate returns an engine if the request may be sent to it.
func (r *reservationAttempt) candidate(id string) (*roster.Upstream, bool) {
	i, ok := slices.BinarySearchFunc(r.request.Engines, id, func(u roster.Upstream, id string) int { return strings.Compare(u.ID, id) })
	if !ok || r.request.Exclude[id] {
		return nil, false
	}
	return &r.request.Engines[i], true
}

// currentState returns the state in which an engine would read the prompt.
func (r *reservationAttempt) currentState(id string) (reuse.State, bool) {
	u, ok := r.candidate(id)
	if !ok {
		return reuse.State{}, false
	}
	return stateOf(u, r.request.Name, r.known.versions[r.request.Name]), true
}

func stateOf(u *roster.Upstream, n engine.Name, version int64) reuse.State {
	s := reuse.State{Engine: u.ID, Run: u.StartTime, Adapter: version}
	for _, m := range u.Models {
		if m.Name == n.Model {
			s.Weights = m.Version
		}
	}
	return s
}

// learn records what an engine's holder has told of the prompt, and sees to it that
// the prompt is recorded when the engine has read it.
func (r *reservationAttempt) learn(now time.Time, u *roster.Upstream, v *decision) {
	x := r.reuse
	version := r.known.versions[r.request.Name]
	if v.slot != nil {
		version = max(v.slot.AdapterVersion, version)
	}
	s := stateOf(u, r.request.Name, version)
	if v.unread > 0 {
		kept := max(x.prompt.Tokens-v.unread, 0)
		if v.slot == nil && (v.refusal.Reason == engine.Unhealthy || v.refusal.Reason == engine.Closed) {
			kept = 0 // what an engine holds that takes no requests is of no use
		}
		r.mu.Lock()
		r.prefixes.Told(now, x.prompt, s, kept)
		if u.ID == x.home {
			r.prefixes.ToldOfHome(x.prompt, kept)
		}
		r.mu.Unlock()
		if v.slot != nil {
			x.report.Kept = kept
		}
	}
	if v.slot == nil {
		return
	}
	d, prompt, firstEvent := r.dispatcher, x.prompt, v.slot.FirstEvent
	v.slot.FirstEvent = func(after time.Duration) {
		firstEvent(after)
		d.mu.Lock()
		defer d.mu.Unlock()
		d.prefixes.Read(time.Now(), prompt, s)
	}
}
