// Package retry decides whether a failed call is retried, within a retry budget.
// Only the entry VM of a call (the VM that the caller connected to) retries the
// call, because retries in several layers would multiply.
package retry

import "time"

// Config sets the limits on retries and the backoff.
type Config struct {
	MaxAttempts int           // maximum number of attempts of one call
	Ratio       float64       // retry tokens that the first attempt of a call adds to each name of the call
	Burst       float64       // maximum and initial number of retry tokens of a name
	Backoff     time.Duration // backoff before the second attempt; doubled for each further one
	MaxBackoff  time.Duration // maximum backoff
	MaxNames    int           // maximum number of names whose tokens are stored; beyond it, all names start again with Burst
}

// Budget limits retries to a share of the first attempts, separately for each
// name, such as a caller or a service. A retry costs one token of each name that
// is given for the call. The methods must not be called concurrently.
type Budget struct {
	config Config
	tokens map[string]float64 // retry tokens by name
}

// New returns a budget in which each name starts with Config.Burst tokens.
func New(c Config) *Budget {
	return &Budget{config: c, tokens: map[string]float64{}}
}

// Deposit adds Config.Ratio tokens to each of the names. It is called for each first
// attempt.
func (b *Budget) Deposit(names ...string) {
	for _, name := range names {
		if len(b.tokens) >= b.config.MaxNames {
			clear(b.tokens)
		}
		b.tokens[name] = min(b.Balance(name)+b.config.Ratio, b.config.Burst)
	}
}

// Balance returns the number of tokens of a name: Config.Burst if none is stored.
func (b *Budget) Balance(name string) float64 {
	if t, ok := b.tokens[name]; ok {
		return t
	}
	return b.config.Burst
}

// Attempt describes a failed attempt.
type Attempt struct {
	Number   int  // 1 for the first attempt
	Free     bool // a retry costs no token, for example because the engine's owner changed and nothing was run
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
// one token from each of the names, unless Attempt.Free is set.
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
	case a.Free:
		return TryAgain{After: backoff}
	}
	for _, name := range names {
		if b.Balance(name) < 1 {
			return GiveUp{Reason: BudgetExhausted}
		}
	}
	for _, name := range names {
		b.tokens[name] = b.Balance(name) - 1
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
