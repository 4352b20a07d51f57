// Package retry decides whether a failed call is retried, within a retry budget.
// Only the entry VM of a call (the VM that the caller connected to) retries the
// call, because retries in several layers would multiply.
package retry

import "time"

// Limit bounds the retries of a name over all VMs: in any Window, at most Ratio for each
// first attempt, and Slack.
type Limit struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Share is the part of a Limit that one VM uses.
type Share struct {
	Limit Limit
	VMs   int // number of VMs that divide the limit equally; 0 if it is not known
}

// Config sets the limits on retries and the backoff.
type Config struct {
	MaxAttempts int           // maximum number of attempts of one call
	Backoff     time.Duration // backoff before the second attempt; doubled for each further one
	MaxBackoff  time.Duration // maximum backoff
	Phase       float64       // tokens that each name starts with, random between 0 and 1: so restarts in series leave the mean number of retries as it is
	MaxNames    int           // maximum number of names whose tokens are stored; beyond it, all names start again without tokens
}

// Parts of a Limit that the VMs divide among themselves. The rest is a reserve, as
// Limit.Window may cover retries of requests that arrived before it.
const (
	ratioShare  = 0.6 // of Limit.Ratio
	savedShare  = 0.5 // of Limit.Slack: for tokens that the VMs have saved up
	earnedShare = 0.4 // of Limit.Slack: for tokens that the VMs get with time
)

// Budget limits the retries of one VM to its Share, separately for each name, such as a
// caller or a service. A retry costs one token of each name that is given for the call.
//
// A VM gets tokens for first attempts and with time, and starts with less than one: its
// last process, and the VMs that it doesn't know yet, may have spent all that the Limit
// allows. The methods must not be called concurrently.
type Budget struct {
	config   Config
	share    Share
	since    time.Time // time from which on names without an account get tokens
	initial  float64   // tokens that they have then
	accounts map[string]account
}

// account is the number of tokens of a name at a time.
type account struct {
	tokens float64
	at     time.Time
}

// New returns a budget that gets no tokens before the first call of Divide.
func New(now time.Time, c Config) *Budget {
	return &Budget{config: c, since: now, initial: c.Phase, accounts: map[string]account{}}
}

// Divide sets the share from now on, and reports whether it has changed. As long as the
// number of VMs is not known, the VM gets tokens only for first attempts.
func (b *Budget) Divide(now time.Time, s Share) bool {
	if s == b.share {
		return false
	}
	for name := range b.accounts {
		b.accounts[name] = b.account(now, name)
	}
	if b.share.VMs == 0 {
		b.since = now
	}
	b.share = s
	return true
}

// maxTokens returns the largest number of tokens that a name can save up.
func (b *Budget) maxTokens() float64 {
	if b.share.VMs == 0 {
		return 1
	}
	return max(savedShare*b.share.Limit.Slack/float64(b.share.VMs), 1)
}

// rate returns the number of tokens that a name gets per second.
func (b *Budget) rate() float64 {
	limit, vms := b.share.Limit, float64(b.share.VMs)
	if vms == 0 || limit.Window <= 0 {
		return 0
	}
	earned := (savedShare+earnedShare)*limit.Slack - b.maxTokens()*vms
	return max(earned, 0) / vms / limit.Window.Seconds()
}

// account returns the account of a name at now.
func (b *Budget) account(now time.Time, name string) account {
	a, ok := b.accounts[name]
	if !ok {
		a = account{tokens: b.initial, at: b.since}
	}
	if elapsed := now.Sub(a.at); elapsed > 0 {
		a = account{tokens: a.tokens + b.rate()*elapsed.Seconds(), at: now}
	}
	a.tokens = min(a.tokens, b.maxTokens())
	return a
}

// add adds tokens to a name.
func (b *Budget) add(now time.Time, name string, tokens float64) {
	if _, ok := b.accounts[name]; !ok && len(b.accounts) >= b.config.MaxNames {
		clear(b.accounts)
		b.since, b.initial = now, 0
	}
	a := b.account(now, name)
	a.tokens = min(a.tokens+tokens, b.maxTokens())
	b.accounts[name] = a
}

// Deposit adds tokens to each of the names. It is called for each first attempt.
func (b *Budget) Deposit(now time.Time, names ...string) {
	for _, name := range names {
		b.add(now, name, ratioShare*b.share.Limit.Ratio)
	}
}

// Balance returns the number of tokens of a name.
func (b *Budget) Balance(now time.Time, name string) float64 { return b.account(now, name).tokens }

// Attempt describes a failed attempt.
type Attempt struct {
	Number   int  // 1 for the first attempt
	Free     bool // a retry costs no token, for example because the engine's owner changed and nothing was run
	Unsent   bool // no attempt has reached an upstream, so that a retry costs no token: it is the first that does
	Final    bool // the call must not be retried, as a further attempt cannot succeed
	Deadline time.Time
}

// Decision is TryAgain or GiveUp.
type Decision interface{ decision() }

// TryAgain is the decision to retry the call after a backoff.
type TryAgain struct{ After time.Duration }

// GiveUp is the decision to end the call without a retry.
type GiveUp struct{ Reason Reason }

func (TryAgain) decision() {}
func (GiveUp) decision()   {}

// Reason is the reason why a call is not retried.
type Reason string

// Reasons for giving up.
const (
	Final             Reason = "final"        // a further attempt cannot succeed
	AttemptsExhausted Reason = "attempts"     // the maximum number of attempts has been made
	BudgetExhausted   Reason = "retry-budget" // the retry budget of one of the names is exhausted
	DeadlineExceeded  Reason = "deadline"     // the backoff would not end before the deadline
)

// freeAttempts is added to Config.MaxAttempts if Attempt.Free is set, for example
// after a change of ownership.
const freeAttempts = 16

// Decide decides whether the call is retried after a failed attempt. A retry takes
// one token from each of the names, unless Attempt.Free or Attempt.Unsent is set.
func (b *Budget) Decide(now time.Time, a Attempt, names ...string) Decision {
	maxAttempts := b.config.MaxAttempts
	if a.Free {
		maxAttempts += freeAttempts
	}
	backoff := b.backoff(a.Number)
	switch {
	case a.Final:
		return GiveUp{Reason: Final}
	case a.Number >= maxAttempts:
		return GiveUp{Reason: AttemptsExhausted}
	case !now.Add(backoff).Before(a.Deadline):
		return GiveUp{Reason: DeadlineExceeded}
	case a.Free, a.Unsent:
		return TryAgain{After: backoff}
	}
	for _, name := range names {
		if b.Balance(now, name) < 1 {
			return GiveUp{Reason: BudgetExhausted}
		}
	}
	for _, name := range names {
		b.add(now, name, -1)
	}
	return TryAgain{After: backoff}
}

// backoff returns the backoff after the failed attempt with the given number.
func (b *Budget) backoff(attempt int) time.Duration {
	backoff := b.config.Backoff
	for i := 1; i < attempt && backoff < b.config.MaxBackoff; i++ {
		backoff *= 2
	}
	return min(backoff, b.config.MaxBackoff)
}
