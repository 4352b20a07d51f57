package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// demandTime is the time over which the demand of an organisation at a VM is averaged.
	demandTime = 500 * time.Millisecond
	// aheadShare is the part of a lease for whose demand credit is asked.
	aheadShare = 0.6
	// renewShare is the part of a lease for whose demand credit is left when more is asked for.
	renewShare = 0.25
	// minArrivals is the number of requests in the time of a lease from which credit is asked for later ones.
	minArrivals = 4
	// deniedTime is how long after a denial credit is asked only for requests that wait. Credit for later ones
	// would go to the small ones among them.
	deniedTime = 300 * time.Millisecond
	// askTimeout is how long an owner may take to answer.
	askTimeout = 60 * time.Millisecond
	// returnDelay is how long unspent credit waits to be given back with another message.
	returnDelay = 300 * time.Millisecond
	// patience is how long a request waits for credit that the owner expects to have by then.
	patience = 50 * time.Millisecond
	// minSpread is the least time over which the returns of refused callers are spread.
	minSpread = 200 * time.Millisecond
	// maxRetryAfter bounds what is told to callers before it is spread. An organisation that asks for more
	// than its quota gets credit all the time, so that a later return is not worth more.
	maxRetryAfter = 200 * time.Millisecond
	// subLeaseWait is when a VM is to ask again whose question was passed on.
	subLeaseWait = 30 * time.Millisecond
	// floorShare is the part of a quota that all VMs together may spend while its owner is silent.
	floorShare = 0.5
	// floorTime is the time for which that credit is saved up.
	floorTime = 300 * time.Millisecond
)

// Account holds the credit that a VM has borrowed for one organisation. It is not safe for concurrent
// use.
type Account struct {
	limit     Limit
	credits   []credit      // the one that expires first comes first
	unspent   []Return      // credit that has expired, and is to be given back
	unspentAt time.Duration // since when
	demand    float64       // average, per second
	arrivals  float64       // requests, the same
	demandAt  time.Duration
	waiting   []waiter        // requests that wait for credit
	passOn    Request         // question of another VM that is to be passed on to the owner
	askedRank int             // priority of the question in flight
	asked     time.Duration   // when the question in flight was sent; 0 for none
	inFlight  []time.Duration // when the questions were sent whose answers may still come
	missed    int             // questions in a row without an answer
	deniedTo  time.Duration   // time until which the owner has no credit
	denied    int             // priority for which it has none; there may be some for more urgent requests
	floor     float64         // credit per second that may be spent while the owner is silent
	floorLeft float64
	floorAt   time.Duration // when floorLeft was computed
}

type waiter struct {
	cost float64
	rank int
}

type credit struct {
	amount  float64
	expires time.Duration
	loan    uint64
}

// NewAccount returns an account without credit.
func NewAccount(l Limit) *Account { return &Account{limit: l} }

// SetLimit tells a change of the quota. Credit that was lent before stays until it expires.
func (a *Account) SetLimit(l Limit) { a.limit, a.deniedTo = l, 0 }

// SetFleet tells the number of VMs that share the quota. While the owner is silent, each may spend a small part
// without it: the owner is lost, or this VM is cut off from it and cannot tell which.
func (a *Account) SetFleet(vms int) { a.floor = floorShare * a.limit.Rate / float64(max(vms, 1)) }

// takeFloor spends credit without the owner. One request more than there is credit for is let through, or the
// large ones would never be.
func (a *Account) takeFloor(now time.Duration, cost float64) bool {
	a.floorLeft = min(a.floorLeft+a.floor*(now-a.floorAt).Seconds(), a.floor*floorTime.Seconds())
	a.floorAt = now
	if a.missed == 0 || a.floorLeft <= 0 {
		return false
	}
	a.floorLeft -= cost
	return true
}

// Outcome is what becomes of a request at an account: Allowed, Refused or Pending.
type Outcome interface{ outcome() }

// Pending means that the request needs credit that is to be asked for.
type Pending struct{}

func (Allowed) outcome() {}
func (Refused) outcome() {}
func (Pending) outcome() {}

// Demand counts a request that has just arrived.
func (a *Account) Demand(now time.Duration, cost float64) {
	a.decay(now)
	a.demand += cost / demandTime.Seconds()
	a.arrivals += 1 / demandTime.Seconds()
}

func (a *Account) decay(now time.Duration) {
	if now > a.demandAt {
		passed := math.Exp(-float64(now-a.demandAt) / float64(demandTime))
		a.demand *= passed
		a.arrivals *= passed
		a.demandAt = now
	}
}

// Take spends credit for a request of a priority. Spread, from 0 to 1, is random and separates the returns of callers.
func (a *Account) Take(now time.Duration, cost float64, rank int, spread float64) Outcome {
	a.expire(now)
	switch {
	case a.available() >= cost:
		a.spend(cost)
		return Allowed{}
	case cost > a.limit.burst()+a.limit.debt(): // the owner never has that much: what it lends would lie here until it expires
		return a.Refuse(now, spread)
	case a.takeFloor(now, cost):
		return Allowed{}
	case now+patience < a.deniedTo && rank >= a.denied:
		return a.Refuse(now, spread)
	default:
		return Pending{}
	}
}

// Refuse refuses a request for which there is no credit.
func (a *Account) Refuse(now time.Duration, spread float64) Refused {
	wait := min(max(a.deniedTo-now, 0), maxRetryAfter)
	return Refused{RetryAfter: wait + time.Duration(spread*float64(max(wait, minSpread)))}
}

// Wait counts a pending request of a priority, until Done is called with the same values.
func (a *Account) Wait(cost float64, rank int) {
	a.waiting = append(a.waiting, waiter{cost: cost, rank: rank})
}

// Done ends the wait of a request.
func (a *Account) Done(cost float64, rank int) {
	if i := slices.Index(a.waiting, waiter{cost: cost, rank: rank}); i >= 0 {
		a.waiting = slices.Delete(a.waiting, i, i+1)
	}
}

// missing returns the credit that the waiting requests and another VM's question lack, and the priority of the most
// urgent one.
func (a *Account) missing() (cost float64, rank int) {
	for i, w := range a.waiting {
		cost += w.cost
		if i == 0 || w.rank < rank {
			rank = w.rank
		}
	}
	if need := max(a.passOn.Least, min(a.passOn.Want, 1)); need > 0 {
		if cost == 0 || a.passOn.Rank < rank {
			rank = a.passOn.Rank
		}
		cost += need
	}
	return max(cost-a.available(), 0), rank
}

// Return takes back the credit of a request that was not sent and never will be. Credit that was spent longer ago
// than the present credit was lent for is lost, as it could be lent again in a later window.
func (a *Account) Return(now, spent time.Duration, cost float64) {
	a.expire(now)
	if len(a.credits) > 0 && a.credits[0].expires <= spent+a.limit.Lease {
		a.credits[0].amount += cost
	}
}

// Ask returns the question to send to the owner now, if there is one. It counts as sent. An answer is
// expected if it wants credit.
func (a *Account) Ask(now time.Duration) (r Request, ok bool) {
	a.expire(now)
	a.decay(now)
	if a.asked > 0 && now-a.asked < askTimeout {
		return Request{}, false
	}
	if a.asked > 0 {
		a.asked = 0
		a.missed++
	}
	missing, rank := a.missing()
	demand := a.expected(now)
	denied := now < a.deniedTo && (missing == 0 || rank >= a.denied)
	wants := !denied && (missing > 0 || a.usable(now) < demand*renewShare)
	if !wants && (len(a.unspent) == 0 || now-a.unspentAt < returnDelay) {
		return Request{}, false
	}
	r = Request{Returns: a.unspent}
	a.unspent = nil
	if wants {
		r.Least, r.Rank = math.Ceil(missing), rank
		r.Want = r.Least + math.Ceil(demand*aheadShare)
		a.asked, a.askedRank, a.passOn = now, rank, Request{}
		a.inFlight = append(slices.DeleteFunc(a.inFlight, func(sent time.Duration) bool { return now-sent > maxLease }), now)
	}
	return r, true
}

// expected returns the demand in the time of a lease. It is 0 if only some requests come in it: most of the credit
// for them would not be spent in time, and could not be lent to other VMs meanwhile.
func (a *Account) expected(now time.Duration) float64 {
	if a.arrivals*a.limit.Lease.Seconds() < minArrivals || now < a.deniedTo+deniedTime {
		return 0
	}
	return min(a.demand, a.limit.Rate) * a.limit.Lease.Seconds()
}

// Missed returns how many questions in a row got no answer.
func (a *Account) Missed() int { return a.missed }

// Receive applies the reply to a question that was sent at a time. It reports whether it is the first reply
// to one of this account's questions: networks duplicate datagrams, and credit must not be counted twice.
func (a *Account) Receive(now, sent time.Duration, g Grant) bool {
	i := slices.Index(a.inFlight, sent)
	if i < 0 || !g.Valid() {
		return false
	}
	a.inFlight = slices.Delete(a.inFlight, i, i+1)
	if a.asked == sent {
		a.asked = 0
	}
	if !g.Passed {
		a.missed = 0
	}
	switch expires := sent + g.Lease; {
	case g.Amount > 0 && expires > now:
		a.deniedTo = 0
		i := slices.IndexFunc(a.credits, func(c credit) bool { return c.expires > expires })
		if i < 0 {
			i = len(a.credits)
		}
		a.credits = slices.Insert(a.credits, i, credit{amount: g.Amount, expires: expires, loan: g.Loan})
	case g.Amount > 0:
		a.release(now, Return{Loan: g.Loan, Amount: g.Amount})
	case g.Amount == 0 && g.Wait > 0:
		a.deniedTo, a.denied = now+min(g.Wait, maxWait), a.askedRank
	}
	return true
}

// SubLease lends credit of this account to another VM, which does not reach the owner. Credit that the other one
// gives back is given back to the owner.
func (a *Account) SubLease(now time.Duration, r Request) Grant {
	a.expire(now)
	a.Demand(now, min(r.Want, a.limit.Rate*a.limit.Lease.Seconds()))
	for _, back := range r.Returns {
		a.release(now, back)
	}
	if r.Want <= 0 {
		return Grant{}
	}
	if a.available() < max(r.Least, 1) {
		a.passOn = Request{Want: min(r.Want, a.limit.Lent), Least: min(r.Least, a.limit.Lent), Rank: r.Rank}
		return Grant{Wait: subLeaseWait, Passed: true}
	}
	first := a.credits[0]
	amount := math.Floor(min(r.Want, a.available()))
	a.spend(amount)
	g := Grant{Amount: amount, Lease: first.expires - now}
	if amount <= first.amount {
		g.Loan = first.loan
	}
	return g
}

func (a *Account) available() float64 {
	sum := 0.0
	for _, c := range a.credits {
		sum += c.amount
	}
	return sum
}

// usable returns the credit that does not expire before an answer of the owner comes.
func (a *Account) usable(now time.Duration) float64 {
	sum := 0.0
	for _, c := range a.credits {
		if c.expires-now > askTimeout {
			sum += c.amount
		}
	}
	return sum
}

func (a *Account) spend(amount float64) {
	for amount > 0 && len(a.credits) > 0 {
		part := min(amount, a.credits[0].amount)
		a.credits[0].amount -= part
		amount -= part
		if a.credits[0].amount > 0 {
			return
		}
		a.credits = a.credits[1:]
	}
}

func (a *Account) expire(now time.Duration) {
	for len(a.credits) > 0 && a.credits[0].expires <= now {
		a.release(now, Return{Loan: a.credits[0].loan, Amount: a.credits[0].amount})
		a.credits = a.credits[1:]
	}
}

// release keeps credit to be given back.
func (a *Account) release(now time.Duration, r Return) {
	if r.Amount <= 0 || r.Loan == 0 {
		return
	}
	if len(a.unspent) == 0 {
		a.unspentAt = now
	}
	if len(a.unspent) < maxReturns {
		a.unspent = append(a.unspent, r)
	} else if last := &a.unspent[maxReturns-1]; last.Loan == r.Loan || last.Amount < r.Amount {
		*last = r
	}
}
