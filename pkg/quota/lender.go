package quota

import (
	"math"
	"time"
)

// Request asks an owner for credit.
type Request struct {
	Want    float64  // credit for the demand of the next time
	Least   float64  // part of it for requests that wait, of which less is of no use; 0 if none waits
	Returns []Return // credit that the borrower has not spent and gives back
	Rank    int      // priority of the most urgent request that waits; 0 is the most urgent
}

// Return gives back credit that was not spent.
type Return struct {
	Loan   uint64  `msgpack:"l"` // Loan of the Grant
	Amount float64 `msgpack:"a"`
}

// maxReturns bounds the length of a Request.
const maxReturns = 4

// Valid reports whether the amounts are such that a VM asks for. A request from the network that is not
// valid could make a lender's level infinite.
func (r Request) Valid() bool {
	for _, back := range r.Returns {
		if !isAmount(back.Amount) {
			return false
		}
	}
	return isAmount(r.Want) && isAmount(r.Least) && len(r.Returns) <= maxReturns
}

// maxAmount bounds the credit in a message. It is beyond what a configuration allows as a rate.
const maxAmount = 1e15

func isAmount(n float64) bool { return n >= 0 && n <= maxAmount } // false for NaN

// Grant is the reply to a Request.
type Grant struct {
	Amount float64
	Lease  time.Duration // time for which it may be spent, from the moment at which it was asked for
	Loan   uint64        // identifies the loan for a Return; 0 if it cannot be given back
	Wait   time.Duration // if Amount is 0: when there is likely credit again
	Passed bool          // the question was passed on to the owner, who has not answered yet
}

// Valid reports whether an owner may have sent the grant.
func (g Grant) Valid() bool {
	return isAmount(g.Amount) && g.Lease >= 0 && g.Lease <= maxLease && g.Wait >= 0
}

const (
	// settleTime is how long a new owner lends less than the whole, and a VM that reaches more of the fleet
	// waits before it lends more. Until all VMs have learned of the change, another one may lend the same
	// credit.
	settleTime = time.Second
	// stallTime is the time without a call after which a lender takes its VM for having been frozen. The
	// fleet takes another VM for the owner after 1.2 s of silence (edge: probes and SuspicionTimeout).
	stallTime = 700 * time.Millisecond
	// settleShare is the part of the rate that a new owner lends meanwhile. It covers the usual demand:
	// quotas are there for the unusual one.
	settleShare = 0.6
	// reserveTime times the rate is the credit that is kept for requests of each higher priority.
	reserveTime = 5 * time.Millisecond
	// debtTime bounds the time in which a debt is paid, and nothing is lent.
	debtTime = time.Second
	// minWait and maxWait bound how long a borrower waits before it asks again.
	minWait = time.Millisecond
	maxWait = 300 * time.Millisecond
)

// Lender lends the quota of one organisation. A token bucket sets the pace. What was lent in the last Span is
// remembered, so that credit that was given back is lent again without use beyond the bound of a window. A Lender
// is not safe for concurrent use.
type Lender struct {
	limit   Limit
	share   float64       // part of the quota that this VM may lend
	shared  bool          // share was set
	wanted  float64       // share from raiseAt on
	raiseAt time.Duration // 0 if share is to stay
	from    time.Duration // when it may lend at the whole rate
	level   float64
	at      time.Duration // when level was computed
	turns   time.Duration // when the last borrower that has to wait is to ask again
	epoch   uint64        // differs from that of other lenders of the organisation
	slice   int64         // number of the present slice of time
	slices  []float64     // credit over share that was lent in the last slices of time, by number modulo length
	lent    float64       // sum of slices
}

// NewLender returns a lender that has no credit: its last process may have lent everything up to now. It
// lends after Takeover and SetShare.
func NewLender(now time.Duration, l Limit) *Lender {
	lender := &Lender{limit: l, at: now, slice: int64(now / sliceTime)}
	lender.Takeover(now)
	return lender
}

// SetLimit changes the quota.
func (l *Lender) SetLimit(now time.Duration, limit Limit) {
	l.Advance(now)
	if l.limit.Span != limit.Span {
		l.resize(limit.Span)
	}
	l.limit = limit
	l.level = min(l.level, l.capacity())
}

// SetShare sets which part of the quota this VM may lend, from 0 to 1: a VM that reaches only a part of the
// fleet leaves the rest to another owner there. A larger share is in force after settleTime.
func (l *Lender) SetShare(now time.Duration, share float64) {
	l.Advance(now)
	l.wanted = share
	switch {
	case !l.shared: // it has not lent before
		l.share, l.shared = share, share > 0
	case share <= l.share:
		l.share, l.raiseAt = share, 0
		l.level = min(l.level, l.capacity())
	case l.raiseAt == 0:
		l.raiseAt = now + settleTime
	}
}

// Takeover tells that this VM is the owner from now on. The one before may have lent all credit up to now,
// and goes on until it has learned of the change.
func (l *Lender) Takeover(now time.Duration) {
	l.advance(now)
	l.level, l.from, l.epoch = min(l.level, 0), now+settleTime, uint64(now)*0x9E3779B97F4A7C15 //nolint:gosec // a hash
	l.slices = make([]float64, l.limit.Span/sliceTime+1)
	for i := range l.slices {
		l.slices[i] = l.limit.Rate * sliceTime.Seconds()
	}
	*l.at0() += l.limit.Burst
	l.lent = sum(l.slices)
}

func sum(list []float64) float64 {
	total := 0.0
	for _, n := range list {
		total += n
	}
	return total
}

// at0 returns the present slice.
func (l *Lender) at0() *float64 { return &l.slices[l.slice%int64(len(l.slices))] }

// resize changes for how long the lender remembers what it has lent.
func (l *Lender) resize(span time.Duration) {
	slices := make([]float64, span/sliceTime+1)
	for i := range min(len(slices), len(l.slices)) {
		n := l.slice - int64(i)
		slices[n%int64(len(slices))] = l.slices[n%int64(len(l.slices))]
	}
	l.slices, l.lent = slices, sum(slices)
}

// Advance must be called at intervals shorter than stallTime. After a longer one, the VM was frozen, and
// another owner may have lent meanwhile.
func (l *Lender) Advance(now time.Duration) {
	if now-l.at > stallTime {
		l.Takeover(now)
		return
	}
	l.advance(now)
}

func (l *Lender) advance(now time.Duration) {
	settling := max(min(now, l.from)-l.at, 0)
	l.level += l.limit.Rate * l.share * (settleShare*settling.Seconds() + max(now-l.at-settling, 0).Seconds())
	l.at = max(l.at, now)
	if l.raiseAt > 0 && now >= l.raiseAt {
		l.share, l.raiseAt = l.wanted, 0
	}
	l.level = min(l.level, l.capacity())
	slice := max(int64(now/sliceTime), l.slice)
	if len(l.slices) == 0 || slice == l.slice {
		l.slice = slice
		return
	}
	for range min(slice-l.slice, int64(len(l.slices))) {
		l.slice++
		*l.at0() = 0
	}
	l.slice, l.lent = slice, sum(l.slices)
}

func (l *Lender) capacity() float64 {
	return l.limit.burst() * l.share
}

// reserve returns the credit that must be left for more urgent requests. It is little, so that only an
// organisation that asks for more than its quota is refused by priority. It is kept half of the time: otherwise less
// urgent requests would get nothing while more urgent ones need the whole quota.
func (l *Lender) reserve(rank int) float64 {
	if l.slice%2 == 0 {
		return 0
	}
	return min(float64(max(rank, 0))*reserveTime.Seconds()*l.limit.Rate*l.share, l.capacity()/2)
}

// giveBack takes credit back. Loans that the lender does not remember are not taken back: they count in earlier
// windows only, or another owner has lent them.
func (l *Lender) giveBack(list []Return) {
	for _, r := range list {
		age := l.slice - int64(r.Loan-l.epoch) //nolint:gosec // wraps around for loans of others
		if r.Loan == 0 || age < 0 || age >= int64(len(l.slices)) {
			continue
		}
		slice := &l.slices[(l.slice-age)%int64(len(l.slices))]
		amount := min(max(r.Amount, 0), *slice)
		*slice -= amount
		l.lent -= amount
		l.level = min(l.level+amount, l.capacity())
	}
}

// Lend decides on a request for credit. What requests that wait need is lent as long as there is any
// credit, and the debt is paid by what accrues next: otherwise large requests would never get credit
// while small ones of the same organisation ask for more than there is.
func (l *Lender) Lend(now time.Duration, r Request) Grant {
	l.Advance(now)
	l.giveBack(r.Returns)
	if r.Want <= 0 {
		return Grant{}
	}
	room := (l.limit.Lent - l.lent) * l.share // in this window
	if min(l.level, room) < 1+l.reserve(r.Rank) {
		return Grant{Wait: l.wait(now, r)}
	}
	debt := l.limit.debt() * l.share
	amount := math.Floor(min(max(min(r.Least, l.level+debt), min(r.Want, l.level)), room))
	l.level -= amount
	*l.at0() += amount / l.share
	l.lent += amount / l.share
	return Grant{Amount: amount, Lease: l.limit.Lease, Loan: l.epoch + uint64(l.slice)} //nolint:gosec // not negative
}

// wait returns after what time a borrower is to ask again. Borrowers that have to wait get times one after
// the other.
func (l *Lender) wait(now time.Duration, r Request) time.Duration {
	rate := l.limit.Rate * l.share
	if rate <= 0 {
		return maxWait
	}
	turn := max(l.turns, now+seconds((1+l.reserve(r.Rank)-l.level)/rate))
	l.turns = min(turn+seconds(max(r.Least, 1)/rate), now+maxWait)
	return min(max(turn-now, minWait), maxWait)
}
