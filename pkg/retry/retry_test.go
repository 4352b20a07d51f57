package retry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/pkg/retry"
)

var (
	start = time.Unix(1_000_000, 0)
	limit = retry.Limit{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}
)

func newBudget(now time.Time, vms int) *retry.Budget { return newBudgetAt(now, vms, 0) }

func newBudgetAt(now time.Time, vms int, phase float64) *retry.Budget {
	b := retry.New(now, retry.Config{MaxAttempts: 2, Phase: phase, MaxNames: 3})
	b.Divide(now, retry.Share{Limit: limit, VMs: vms})
	return b
}

// allowed reports whether a retry is allowed at now, and charges it.
func allowed(b *retry.Budget, now time.Time, name string) bool {
	_, ok := b.Decide(now, retry.Attempt{Number: 1, Deadline: now.Add(time.Hour)}, name).(retry.TryAgain)
	return ok
}

// Guards against retries beyond the limit of all VMs together, because each process
// starts with tokens of its own (incident BUDGET with real processes). VMs restart at
// random, or all at once, and each request fails.
func TestRestartsGiveNoRetries(t *testing.T) {
	for _, c := range []struct {
		vms     int
		restart time.Duration // mean time between two restarts; 0 for none
		all     bool          // all VMs restart at once
		rate    int           // requests per second
	}{
		{9, 0, false, 10},
		{9, 400 * time.Millisecond, false, 10},
		{9, 3 * time.Second, true, 10},
		{6, 100 * time.Millisecond, false, 48},
		{9, 20 * time.Second, true, 150},
		{89, time.Second, false, 300},
	} {
		t.Run(fmt.Sprintf("%d VMs, restart every %s", c.vms, c.restart), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 1))
			budgets := make([]*retry.Budget, c.vms)
			for i := range budgets {
				budgets[i] = newBudgetAt(start, c.vms, random.Float64())
			}
			const step = time.Millisecond
			var requests, retries []time.Time
			next := start.Add(c.restart)
			for now := start; now.Sub(start) < time.Minute; now = now.Add(step) {
				if c.restart > 0 && !now.Before(next) {
					next = now.Add(time.Duration(2 * random.Float64() * float64(c.restart)))
					for i := range budgets {
						if c.all || i == random.IntN(c.vms) {
							budgets[i] = newBudgetAt(now, c.vms, random.Float64())
						}
					}
				}
				if random.Float64() > float64(c.rate)*step.Seconds() {
					continue
				}
				requests = append(requests, now)
				b := budgets[random.IntN(c.vms)]
				b.Deposit(now, "s")
				for range 3 {
					if allowed(b, now, "s") {
						retries = append(retries, now)
					}
				}
			}
			is.True(len(retries) > 0)
			for _, from := range retries {
				is.True(float64(countIn(retries, from)) <= limit.Ratio*float64(countIn(requests, from))+limit.Slack)
			}
		})
	}
}

// countIn returns the number of times within limit.Window from a time on.
func countIn(times []time.Time, from time.Time) int {
	count := 0
	for _, at := range times {
		if elapsed := at.Sub(from); elapsed >= 0 && elapsed <= limit.Window {
			count++
		}
	}
	return count
}

func TestTokensComeWithTimeAndRequests(t *testing.T) {
	is := is.New(t)
	b := newBudget(start, 9)
	is.True(!allowed(b, start, "s"))
	for range 9 { // at 0.6 x 0.2 tokens each
		b.Deposit(start, "s")
	}
	is.True(allowed(b, start, "s"))
	is.True(!allowed(b, start, "s"))
	later := start.Add(limit.Window)
	is.True(allowed(b, later, "s"))
	is.True(b.Balance(later, "other") > 1) // the first retry of a name is not refused after a while
}

// A VM that knows no others yet must not take the whole limit for itself.
func TestNoTokensWithTimeBeforeTheFleetIsKnown(t *testing.T) {
	is := is.New(t)
	b := newBudget(start, 0)
	is.Equal(b.Balance(start.Add(time.Hour), "s"), 0.0)
	known := start.Add(time.Hour)
	is.True(b.Divide(known, retry.Share{Limit: limit, VMs: 9}))
	is.Equal(b.Balance(known, "s"), 0.0)
	is.True(!b.Divide(known, retry.Share{Limit: limit, VMs: 9}))
	is.True(b.Balance(known.Add(limit.Window), "s") > 1)
}

// When too many names are stored and all are forgotten, those that have spent their
// tokens must not get them back.
func TestForgottenNamesStartWithoutTokens(t *testing.T) {
	is := is.New(t)
	b := newBudget(start, 9)
	now := start.Add(time.Minute)
	for allowed(b, now, "s") {
	}
	for _, name := range []string{"a", "b", "c"} { // more than MaxNames
		b.Deposit(now, name)
	}
	is.True(!allowed(b, now, "s"))
}

func TestDecide(t *testing.T) {
	for _, c := range []struct {
		name    string
		attempt retry.Attempt
		want    retry.Decision
	}{
		{"allowed", retry.Attempt{Number: 1, Deadline: start.Add(time.Hour)}, retry.TryAgain{}},
		{"last attempt", retry.Attempt{Number: 2, Deadline: start.Add(time.Hour)}, retry.GiveUp{Reason: retry.AttemptsExhausted}},
		{"final", retry.Attempt{Number: 1, Final: true, Deadline: start.Add(time.Hour)}, retry.GiveUp{Reason: retry.Final}},
		{"too late", retry.Attempt{Number: 1, Deadline: start}, retry.GiveUp{Reason: retry.DeadlineExceeded}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBudget(start.Add(-time.Minute), 9)
			is.New(t).Equal(b.Decide(start, c.attempt, "s"), c.want)
		})
	}
}

func TestFreeRetryCostsNothing(t *testing.T) {
	is := is.New(t)
	b := newBudget(start, 9) // has no tokens
	end := start.Add(time.Hour)
	is.Equal(b.Decide(start, retry.Attempt{Number: 5, Free: true, Deadline: end}, "s"), retry.TryAgain{})
	is.Equal(b.Decide(start, retry.Attempt{Number: 1, Unsent: true, Deadline: end}, "s"), retry.TryAgain{})
	is.Equal(b.Decide(start, retry.Attempt{Number: 2, Unsent: true, Deadline: end}, "s"), retry.GiveUp{Reason: retry.AttemptsExhausted})
}
