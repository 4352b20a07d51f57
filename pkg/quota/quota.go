// Package quota decides how much organisations may use over all VMs together.
//
// For each organisation, one VM is the owner. Its Lender keeps a token bucket and lends credit, which
// the Account of a borrowing VM spends until the credit expires. Nobody spends what was not lent, so the
// sum over all VMs stays within the bucket whatever happens to the messages. Times are durations since the
// boot of the machine, which include the time for which it was suspended.
package quota

import (
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/org"
)

// Decision is what becomes of a request: Allowed or Refused.
type Decision interface{ decision() }

// Allowed lets a request through.
type Allowed struct{}

// Refused rejects a request that is beyond the quota.
type Refused struct {
	RetryAfter time.Duration // when there is likely room again
}

func (Allowed) decision() {}
func (Refused) decision() {}

// Bounds limit what may be used beyond a quota in any window, over all VMs together.
type Bounds struct {
	Window    time.Duration
	Overshoot float64 // share of the quota in a window
	Slack     float64 // tokens or requests on top of that
}

// Limit is the quota of an organisation and how it is lent.
type Limit struct {
	Rate   float64       // credit per second that is lent
	Burst  float64       // credit that accrues while nobody borrows
	Lease  time.Duration // time for which credit may be spent, from the moment at which it was asked for
	Margin float64       // credit that may be used beyond the quota in a window
	Span   time.Duration // time within which what is spent in a window was lent
	Lent   float64       // largest credit that is lent, and not given back, in that time
}

const (
	// minLease and maxLease bound Limit.Lease. A lease must outlast some round trips.
	minLease = 100 * time.Millisecond
	maxLease = 2 * time.Second
	// leaseShare times the margin is at most lent in the time of a lease.
	leaseShare = 0.25
)

// The parts of the margin that a Lender may use.
const (
	rateShare  = 0.8  // for a higher rate, and for credit that is lent before a window and spent in it
	lentShare  = 0.93 // for all that is lent; the rest is for the moments at which two VMs lend
	debtShare  = 0.15 // for requests that need more than there is
	burstShare = 0.1  // for the least burst, without which large requests would not be served
)

// sliceTime is the resolution at which a Lender remembers what it has lent.
const sliceTime = 100 * time.Millisecond

// unbounded is what a quota may be exceeded by if the deployment sets no bounds.
var unbounded = Bounds{Window: 8 * time.Second, Overshoot: 1}

// NewLimit returns how a quota is lent within the bounds. Part of what may be used beyond the quota is
// lent too.
func NewLimit(q org.Quota, b Bounds) Limit {
	if b.Window <= 0 {
		b = unbounded
	}
	window := b.Window.Seconds()
	margin := b.Overshoot*(window*q.Rate+q.Burst) + b.Slack
	lease := min(max(seconds(leaseShare*margin/q.Rate), minLease), maxLease)
	span := b.Window + lease + sliceTime // credit that is spent in a window was lent in this time
	rate := min((window*q.Rate+rateShare*margin)/span.Seconds(), (1+b.Overshoot)*q.Rate)
	return Limit{Rate: rate, Burst: q.Burst, Lease: lease, Margin: margin, Span: span, Lent: window*q.Rate + q.Burst + lentShare*margin}
}

// burst is never less than a part of the margin, so that requests larger than the configured burst are served.
func (l Limit) burst() float64 { return max(l.Burst, burstShare*l.Margin) }

// debt is the credit that may be lent before it accrues.
func (l Limit) debt() float64 { return min(debtShare*l.Margin, debtTime.Seconds()*l.Rate) }

func seconds(s float64) time.Duration { return time.Duration(min(s, 1e6) * float64(time.Second)) }
