// Package credit keeps organisations within their quotas at one VM. It borrows credit from the VMs that own
// the quotas, and lends credit of the quotas that this VM owns; see package quota.
package credit

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/pkg/org"
	"github.com/tanagerlb/tanagerlb/pkg/quota"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
)

const (
	// waitTime is how long a request waits for credit.
	waitTime = 120 * time.Millisecond
	// pollInterval is the interval at which a waiting request looks whether another question is due.
	pollInterval = 20 * time.Millisecond
	// silenceTime is how long a VM that did not answer is not asked if there is another one.
	silenceTime = time.Second
	// maxVMs is the largest number of VMs that a VM takes the fleet for.
	maxVMs = 1000.0
)

// Request asks another VM for credit.
type Request struct {
	Organisation string         `msgpack:"o"`
	Sent         time.Duration  `msgpack:"s"` // time since the boot of the sender's machine
	Want         float64        `msgpack:"w,omitempty"`
	Least        float64        `msgpack:"l,omitempty"`
	Returns      []quota.Return `msgpack:"r,omitempty"`
	Rank         int            `msgpack:"k,omitempty"`
}

// Reply answers a Request.
type Reply struct {
	Organisation string        `msgpack:"o"`
	Sent         time.Duration `msgpack:"s"` // of the Request
	Amount       float64       `msgpack:"a,omitempty"`
	Lease        time.Duration `msgpack:"d,omitempty"`
	Loan         uint64        `msgpack:"n,omitempty"`
	Wait         time.Duration `msgpack:"w,omitempty"`
	Passed       bool          `msgpack:"p,omitempty"`
}

// Config holds the options of a Keeper.
type Config struct {
	Self   string                              // name of this VM
	Now    func() time.Duration                // time since the boot of the machine
	Send   func(vm string, request Request)    // sends a request to another VM
	Report func(organisation, decision string) // counts a decision
	Logger *zap.Logger
}

// Keeper keeps the organisations within their quotas. It is safe for concurrent use.
type Keeper struct {
	config  Config
	mu      sync.Mutex
	entries map[string]*entry
	vms     []string // live VMs, this one included
	fleet   int      // number of changes of vms
	share   float64  // part of a quota that this VM may lend
	silent  map[string]time.Duration
}

// entry is the quota of one organisation.
type entry struct {
	name     string
	limit    quota.Limit
	account  *quota.Account
	lender   *quota.Lender
	fleet    int       // change of the fleet for which rank was found
	rank     [2]string // VMs that own the quota: the first one, and the one that stands in for it; "" for none
	lends    bool      // this VM lends the credit
	asked    string    // VM that the last request was sent to
	answered chan struct{}
}

// New returns a keeper without organisations. It lends nothing before SetFleet is called.
func New(c Config) *Keeper {
	return &Keeper{config: c, entries: map[string]*entry{}, vms: []string{c.Self}, silent: map[string]time.Duration{}}
}

// SetOrganisations sets the organisations of the configuration in force.
func (k *Keeper) SetOrganisations(d *org.Directory, b quota.Bounds) {
	now := k.config.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for name := range k.entries {
		if o := d.Get(name); o == nil || !o.Quota.Limited() {
			delete(k.entries, name)
		}
	}
	for name, o := range d.All() {
		if !o.Quota.Limited() {
			continue
		}
		limit := quota.NewLimit(o.Quota, b)
		e, ok := k.entries[name]
		switch {
		case !ok:
			e = &entry{name: name, limit: limit, account: quota.NewAccount(limit), lender: quota.NewLender(now, limit), fleet: -1, answered: make(chan struct{})}
			e.lender.SetShare(now, k.share)
			e.account.SetFleet(k.known())
			k.entries[name] = e
		case e.limit != limit:
			e.limit = limit
			e.account.SetLimit(limit)
			e.account.SetFleet(k.known())
			e.lender.SetLimit(now, limit)
		}
	}
}

// SetFleet sets the VMs that may own quotas, and the share of the known VMs that this VM reaches. It lends
// that part of the quotas it owns. So the owners on all sides of a network partition lend no more than the whole.
func (k *Keeper) SetFleet(vms []string, share float64) {
	now := k.config.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if !slices.Equal(vms, k.vms) {
		k.vms = slices.Clone(vms)
		k.fleet++
	}
	if share != k.share {
		k.share = share
		for _, e := range k.entries {
			e.lender.SetShare(now, share)
		}
	}
	for _, e := range k.entries {
		k.place(now, e)
		e.account.SetFleet(k.known())
	}
}

// known returns the number of VMs that share the quotas, also of those that this VM doesn't reach.
func (k *Keeper) known() int { return int(float64(len(k.vms)) / max(k.share, 1/maxVMs)) }

// place finds the VMs that own a quota.
func (k *Keeper) place(now time.Duration, e *entry) {
	if e.fleet == k.fleet {
		return
	}
	first := rank.First(e.name, k.vms)
	second := rank.First(e.name, slices.DeleteFunc(slices.Clone(k.vms), func(vm string) bool { return vm == first }))
	e.rank, e.fleet = [2]string{first, second}, k.fleet
	lends := first == k.config.Self
	if lends && !e.lends {
		e.lender.Takeover(now)
		k.config.Logger.Info("quota: this VM lends credit", zap.String("organisation", e.name), zap.Float64("rate", e.limit.Rate), zap.Float64("share", k.share))
	}
	e.lends = lends
}

// Take charges an organisation for a request, unless that is beyond its quota. It waits for credit if there
// is none. Rank is the priority among the organisation's requests; 0 is the most urgent.
func (k *Keeper) Take(ctx context.Context, o *org.Organisation, amount int64, rank int) quota.Decision {
	began, cost := k.config.Now(), float64(amount)
	k.mu.Lock()
	e, ok := k.entries[o.Name]
	if !ok {
		k.mu.Unlock()
		return quota.Allowed{} // a configuration without this quota has come into force
	}
	defer k.mu.Unlock()
	e.account.Demand(began, cost)
	outcome := e.account.Take(began, cost, rank, rand.Float64()) //nolint:gosec // only spreads callers
	if _, pending := outcome.(quota.Pending); pending {
		outcome = k.wait(ctx, began, e, cost, rank)
	} else {
		k.ask(began, e)
	}
	if refused, ok := outcome.(quota.Refused); ok {
		k.config.Report(o.Name, "refused")
		return refused
	}
	k.config.Report(o.Name, "allowed")
	return quota.Allowed{}
}

// wait asks for the credit of a pending request, and waits for it. k.mu is locked but while it waits.
func (k *Keeper) wait(ctx context.Context, began time.Duration, e *entry, cost float64, rank int) quota.Outcome {
	e.account.Wait(cost, rank)
	defer e.account.Done(cost, rank)
	for {
		k.ask(k.config.Now(), e)
		now := k.config.Now()
		outcome := e.account.Take(now, cost, rank, rand.Float64()) //nolint:gosec // only spreads callers
		switch _, pending := outcome.(quota.Pending); {
		case !pending:
			return outcome
		case ctx.Err() != nil || now-began >= waitTime:
			return e.account.Refuse(now, rand.Float64()) //nolint:gosec // only spreads callers
		}
		answered := e.answered
		k.mu.Unlock()
		await(ctx, answered, min(pollInterval, began+waitTime-now))
		k.mu.Lock()
		if k.entries[e.name] != e {
			return quota.Allowed{} // a configuration without this quota has come into force
		}
	}
}

func await(ctx context.Context, answered <-chan struct{}, longest time.Duration) {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-answered:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Return gives back what was charged, for some time, for a request that was not sent and never will be.
func (k *Keeper) Return(o *org.Organisation, amount int64, age time.Duration) {
	now := k.config.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if e, ok := k.entries[o.Name]; ok {
		e.account.Return(now, now-age, float64(amount))
	}
}

// ask sends the question for credit that is due, if there is one.
func (k *Keeper) ask(now time.Duration, e *entry) {
	missed := e.account.Missed()
	r, ok := e.account.Ask(now)
	if e.account.Missed() > missed {
		k.silence(now, e)
	}
	if !ok {
		return
	}
	k.place(now, e)
	to := k.target(now, e)
	if to == k.config.Self {
		g := e.lender.Lend(now, r)
		if r.Want > 0 {
			e.account.Receive(now, now, g)
		}
		return
	}
	e.asked = to
	k.config.Send(to, Request{Organisation: e.name, Sent: now, Want: r.Want, Least: r.Least, Returns: r.Returns, Rank: r.Rank})
}

// silence records that the VM asked last has not answered.
func (k *Keeper) silence(now time.Duration, e *entry) {
	vm := e.asked
	if vm == "" || vm == k.config.Self || now < k.silent[vm] {
		return
	}
	k.silent[vm] = now + silenceTime
	k.config.Logger.Info("quota: a VM does not answer", zap.String("organisation", e.name), zap.String("vm", vm))
}

// target returns the VM to ask for credit. The one that stands in for a silent owner lends only what it
// borrows: the owner may go on lending to VMs that reach it.
func (k *Keeper) target(now time.Duration, e *entry) string {
	first, second := e.rank[0], e.rank[1]
	if first != k.config.Self && now < k.silent[first] && second != "" && second != k.config.Self && now >= k.silent[second] {
		return second
	}
	return first
}

// Handle answers a request for credit of another VM. It returns nil if no answer is expected.
func (k *Keeper) Handle(r Request) *Reply {
	question := quota.Request{Want: r.Want, Least: r.Least, Returns: r.Returns, Rank: r.Rank}
	if !question.Valid() {
		return nil
	}
	now := k.config.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	e, ok := k.entries[r.Organisation]
	if !ok {
		return nil
	}
	k.place(now, e)
	var g quota.Grant
	if e.rank[0] == k.config.Self {
		g = e.lender.Lend(now, question)
	} else { // the sender does not reach the owner, or does not know it yet
		g = e.account.SubLease(now, question)
		k.ask(now, e)
	}
	if r.Want <= 0 {
		return nil
	}
	return &Reply{Organisation: r.Organisation, Sent: r.Sent, Amount: g.Amount, Lease: g.Lease, Loan: g.Loan, Wait: g.Wait, Passed: g.Passed}
}

// HandleReply applies the answer to a request of this VM.
func (k *Keeper) HandleReply(r Reply) {
	now := k.config.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	e, ok := k.entries[r.Organisation]
	if !ok || !e.account.Receive(now, r.Sent, quota.Grant{Amount: r.Amount, Lease: r.Lease, Loan: r.Loan, Wait: r.Wait, Passed: r.Passed}) {
		return
	}
	close(e.answered)
	e.answered = make(chan struct{})
}

// Tick sends the questions that are due although no request asks for credit. It must be called several times a
// second, as lenders take longer gaps for times in which the VM was frozen.
func (k *Keeper) Tick() {
	now := k.config.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range k.entries {
		e.lender.Advance(now)
		k.ask(now, e)
	}
	for vm, until := range k.silent {
		if now >= until {
			delete(k.silent, vm)
		}
	}
}
