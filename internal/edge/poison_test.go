package edge

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/internal/metric"
	"github.com/tanagerlb/tanagerlb/internal/relay"
	"github.com/tanagerlb/tanagerlb/pkg/crash"
	"github.com/tanagerlb/tanagerlb/pkg/fence"
	"github.com/tanagerlb/tanagerlb/pkg/gossip"
	"github.com/tanagerlb/tanagerlb/pkg/roster"
	"github.com/tanagerlb/tanagerlb/platform"
)

// loneVM returns the control state of a VM that knows no others.
func loneVM() *control {
	self := gossip.VM{Name: "a"}
	return &control{
		fetching: map[platform.Topic]bool{}, recent: newRecent(),
		limits: newLimits(newPacer(self, nil, nil)), logger: zap.NewNop(), metrics: metric.New(), self: self, poison: newPoison(), gossip: gossip.New(gossip.Config{}, self),
		newest: map[platform.Topic]map[string]platform.Record{}, storeEra: storeEra{topics: map[platform.Topic]int64{}},
		roster: roster.New(), fence: fence.New(),
		events: make(chan event, 100), check: func(context.Context, roster.Upstream, string) error { return nil },
	}
}

// causes returns the cause of a request that only its caller sends.
func causes(f crash.Fingerprint) []crash.Cause { return []crash.Cause{{Kind: crash.Repeat, Print: f}} }

func brokenRun(f crash.Fingerprint, upstream string, sent time.Time) requestBroken {
	return requestBroken{relay.BrokenRun{Causes: causes(f), Upstream: roster.Upstream{ID: upstream}, Sent: sent}}
}

func completed(f crash.Fingerprint) requestCompleted {
	return requestCompleted{relay.CompletedRun{Causes: causes(f), Status: http.StatusOK, Framed: true}}
}

// remaining returns for how long the request path refuses a request.
func (c *control) remaining(now time.Time, f crash.Fingerprint) time.Duration {
	return crashTracker{c}.Blocked(now, causes(f)).Remaining
}

// A broken connection counts against its request only after the upstream is known
// to have crashed. The request is blocked after three crashes, also if an upstream
// restarts under the id that it had.
func TestRequestIsBlockedAfterCrashes(t *testing.T) {
	for _, c := range []struct {
		name      string
		upstreams []string
	}{
		{"three upstreams", []string{"e1", "e2", "e3"}},
		{"two upstreams", []string{"e1", "e2", "e1"}},
		{"one upstream", []string{"e1", "e1", "e1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			vm := loneVM()
			for i, id := range c.upstreams {
				at := start.Add(time.Duration(i) * 2 * time.Second)
				is.Equal(vm.remaining(at, 7), time.Duration(0))
				vm.noteBroken(t.Context(), at, brokenRun(7, id, at.Add(-100*time.Millisecond)))
				vm.noteBroken(t.Context(), at, brokenRun(8, "works", at)) // its connections break, but it does not crash
				vm.noteCrash(at.Add(100*time.Millisecond), id, at.Add(100*time.Millisecond), learnedByDial)
				vm.noteCrash(at.Add(200*time.Millisecond), id, at.Add(200*time.Millisecond), learnedByDial) // the same crash, detected a second time
			}
			at := start.Add(5 * time.Second)
			is.True(vm.remaining(at, 7) > 0)
			is.Equal(vm.remaining(at, 8), time.Duration(0))
			is.Equal(vm.remaining(at.Add(2*blockTime), 7), time.Duration(0))
		})
	}
}

// A VM that has no further request for an upstream learned of its crash only when the
// store dropped the entry, some seconds later.
func TestCrashIsLearnedOfWithoutFurtherRequests(t *testing.T) {
	for _, c := range []struct {
		name    string
		refused error
		crashed bool
	}{
		{"connections are refused", errors.New("connection refused"), true},
		{"connections are accepted", nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			vm := loneVM()
			checks := 0
			vm.check = func(context.Context, roster.Upstream, string) error {
				checks++
				return c.refused
			}
			for range 3 {
				vm.noteBroken(t.Context(), start, brokenRun(7, "e1", start))
			}
			crashed := false
			for checked := false; !checked; {
				switch (<-vm.events).(type) {
				case unreachable:
					crashed = true
				case upstreamChecked:
					checked = true
				}
			}
			is.Equal(checks, 1) // for all three
			is.Equal(crashed, c.crashed)
		})
	}
}

// Guards against a request that crashes one upstream after the other and is never blocked, as its
// caller gives up before the upstream can count as silent (soak seed 47148).
func TestRequestThatEndsEarlyMayCrashUpstreams(t *testing.T) {
	const ended, crashed = 500 * time.Millisecond, 3 * time.Second // after the request was sent
	for _, c := range []struct {
		name    string
		heard   time.Duration // when something last arrived from the upstream
		blocked bool
	}{
		{"silent", 0, true},
		{"ran on", ended + time.Second, false},
		{"another process answers", crashed + time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			vm := loneVM()
			var at time.Time
			for i := range 3 {
				sent := start.Add(time.Duration(i) * 10 * time.Second)
				at = sent.Add(crashed + 2*time.Second)
				id := fmt.Sprint("e", i)
				run := brokenRun(7, id, sent)
				run.Silent, run.Early = true, func() time.Time { return sent.Add(c.heard) }
				vm.noteBroken(t.Context(), sent.Add(ended), run)
				is.Equal(len(vm.poison.probing), 0) // callers that leave must not cause health checks
				vm.noteCrash(at, id, sent.Add(crashed), learnedFromRestart)
			}
			is.Equal(vm.remaining(at, 7) > 0, c.blocked)
		})
	}
}

// Guards against a crash that is not held against the request that runs at the upstream, since
// another one had ended early there shortly before.
func TestRequestThatEndsEarlyIsNoOutage(t *testing.T) {
	is := is.New(t)
	vm := loneVM()
	early := brokenRun(7, "e", start.Add(-500*time.Millisecond))
	early.Early = func() time.Time { return start }
	vm.noteBroken(t.Context(), start, early)
	vm.noteBroken(t.Context(), start.Add(200*time.Millisecond), brokenRun(8, "e", start.Add(100*time.Millisecond)))
	is.Equal(len(vm.poison.pending["e"]), 2)
}

func TestCrashLongAfterBrokenRequestIsIgnored(t *testing.T) {
	is := is.New(t)
	c := loneVM()
	for _, id := range []string{"e1", "e2", "e3"} {
		c.noteBroken(t.Context(), start, brokenRun(7, id, start))
		c.noteCrash(start.Add(2*detectionTime), id, start.Add(2*detectionTime), learnedByDial)
	}
	is.Equal(c.remaining(start.Add(2*detectionTime), 7), time.Duration(0))
}

// The connections to an upstream that fell silent end seconds after its entry is gone.
// What ran there was not held to be a suspect any more.
func TestRequestThatBreaksOffAfterTheCrashIsLearnedOf(t *testing.T) {
	for _, c := range []struct {
		name    string
		sent    time.Duration // before the crash is learned of
		counted int
	}{
		{"sent before", time.Second, 1},
		{"sent after, to an upstream that is back", -time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			vm := loneVM()
			vm.noteCrash(start, "e1", start, learnedFromMissingEntry)
			vm.noteBroken(t.Context(), start.Add(3*time.Second), brokenRun(7, "e1", start.Add(-c.sent)))
			is.Equal(len(vm.poison.tracker.Runs(7)), c.counted)
		})
	}
}

// While an upstream is down but accepts connections, it breaks off all requests that it
// gets, the same ones several times.
func TestRequestSentDuringAnOutageIsNotItsCause(t *testing.T) {
	is := is.New(t)
	vm := loneVM()
	vm.noteBroken(t.Context(), start, brokenRun(6, "e1", start.Add(-time.Second)))
	for i := range 10 {
		at := start.Add(time.Duration(i) * 300 * time.Millisecond)
		vm.noteBroken(t.Context(), at, brokenRun(7, "e1", at.Add(time.Millisecond)))
		vm.noteCrash(at, "e1", at, learnedByDial)
	}
	is.Equal(len(vm.poison.tracker.Runs(6)), 1)
	is.Equal(len(vm.poison.tracker.Runs(7)), 0)

	back := brokenRun(7, "e1", start.Add(3100*time.Millisecond))
	back.Heard = start.Add(3 * time.Second)
	vm.noteBroken(t.Context(), start.Add(3200*time.Millisecond), back)
	vm.noteCrash(start.Add(3200*time.Millisecond), "e1", start.Add(3200*time.Millisecond), learnedByDial)
	is.Equal(len(vm.poison.tracker.Runs(7)), 1)
}

// An upstream that is emptied and taken away breaks off what it still runs.
func TestUpstreamThatLeavesAsPlannedHasNotCrashed(t *testing.T) {
	is := is.New(t)
	for _, draining := range []bool{false, true} {
		vm := loneVM()
		vm.roster, vm.fence, vm.dispatcher = roster.New(), fence.New(), &dispatcher{}
		vm.roster.Apply(roster.Upstream{ID: "e1", Draining: draining})
		vm.noteBroken(t.Context(), start, brokenRun(7, "e1", start))
		vm.markMissing(start, "e1", 0)
		vm.reconcile(start)
		is.Equal(len(vm.poison.tracker.Runs(7)) == 0, draining)
	}
}

// A request that happened to run when upstreams crashed must not be blocked if it has
// run to its end meanwhile.
func TestRequestThatRunsToItsEndIsNotBlocked(t *testing.T) {
	is := is.New(t)
	c := loneVM()
	for i := range 5 {
		at := start.Add(time.Duration(i) * time.Second)
		c.noteBroken(t.Context(), at, brokenRun(7, "e1", at))
		c.noteCrash(at, "e1", at, learnedByDial)
		c.noteCompleted(start, completed(7))
		is.Equal(c.remaining(at, 7), time.Duration(0))
	}
}

// The same must hold if the crashes are learned of only after the complete run.
func TestRequestThatRunsToItsEndIsNoSuspect(t *testing.T) {
	is := is.New(t)
	c := loneVM()
	for _, id := range []string{"e1", "e2", "e3"} {
		c.noteBroken(t.Context(), start, brokenRun(7, id, start))
	}
	c.expirePoison(start)
	_, watched := (*c.poison.watched.Load())[7]
	is.True(watched) // the request path reports its complete runs
	c.noteCompleted(start, completed(7))
	for _, id := range []string{"e1", "e2", "e3"} {
		c.noteCrash(start.Add(3*time.Second), id, start.Add(3*time.Second), learnedFromMissingEntry)
	}
	is.Equal(c.remaining(start.Add(3*time.Second), 7), time.Duration(0))
}

// When the time for which a request was blocked is over, all its repeats came at once.
func TestBlockedRequestIsTriedOnceAtATime(t *testing.T) {
	is := is.New(t)
	c := loneVM()
	for i := range 3 {
		at := start.Add(time.Duration(i) * time.Second)
		c.noteBroken(t.Context(), at, brokenRun(7, "e1", at))
		c.noteCrash(at, "e1", at, learnedByDial)
	}
	tracker := crashTracker{c}
	is.Equal(tracker.Admit(start, causes(8)).Remaining, time.Duration(0))
	is.True(tracker.Admit(start.Add(3*time.Second), causes(7)).Remaining > trialTime)
	over := start.Add(2*time.Second + blockTime)
	is.Equal(tracker.Admit(over, causes(7)).Remaining, time.Duration(0))
	is.Equal(tracker.Admit(over, causes(7)).Remaining, trialTime)
	is.Equal(tracker.Blocked(over, causes(7)).Remaining, time.Duration(0)) // the trial itself may be sent
	is.Equal(tracker.Admit(over.Add(trialTime), causes(7)).Remaining, time.Duration(0))
	c.noteCompleted(start, completed(7))
	for range 3 {
		is.Equal(tracker.Admit(over.Add(trialTime), causes(7)).Remaining, time.Duration(0))
	}
}

// Each VM tried the request when its block was over.
func TestBlockedRequestIsTriedByOneVMAfterTheOther(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c", "d"}
	admitted := map[time.Duration]int{}
	for _, name := range names {
		vm := loneVM()
		vm.self.Name = name
		vm.gossip = gossip.New(gossip.Config{}, vm.self)
		for _, other := range names {
			if other != name {
				vm.gossip.ApplyDirect(start, gossip.Update{VM: gossip.VM{Name: other}, Status: gossip.Alive})
			}
		}
		var runs []crashRun
		for i := range 3 {
			runs = append(runs, crashRun{ID: uint64(i + 1), Upstream: strconv.Itoa(i), Causes: []suspectCause{{Print: 7, Kind: crash.Repeat}}})
		}
		vm.recordCrashes(start, runs)
		admitted[vm.remaining(start, 7)-blockTime]++
	}
	is.Equal(admitted, map[time.Duration]int{0: 1, trialTime: 1, 2 * trialTime: 1, 3 * trialTime: 1})
}

// Guards against the block of a request that many callers send, and that was running in
// each of three crashes under another one.
func TestRequestThatRanToItsEndBeforeIsHeldBackLater(t *testing.T) {
	is := is.New(t)
	c := loneVM()
	crashTracker{c}.ReportCompleted(start.Add(-completionTime), completed(8).CompletedRun)
	for i := range harmlessThreshold {
		at := start.Add(time.Duration(i) * time.Second)
		is.Equal(c.remaining(at, 7) > 0, i >= blockThreshold)
		is.Equal(c.remaining(at, 8), time.Duration(0))
		c.noteBroken(t.Context(), at, brokenRun(7, "e1", at))
		c.noteBroken(t.Context(), at, brokenRun(8, "e1", at))
		c.noteCrash(at, "e1", at, learnedByDial)
	}
	is.True(c.remaining(start.Add(harmlessThreshold*time.Second), 8) > 0)
}

func TestCompletionsExpire(t *testing.T) {
	is := is.New(t)
	var c completions
	c.add(start, []crash.Fingerprint{7})
	is.True(c.has(start, 7))
	is.True(!c.has(start, 8))
	is.True(c.has(start.Add(completionTime), 7))
	is.True(!c.has(start.Add(3*completionTime), 7))
}

// Guards against a request that crashes upstreams and comes again for hours: each end of
// a block let it crash one more (incident BUDGET with real processes).
func TestPoisonRequestIsTriedThreeTimesADay(t *testing.T) {
	is := is.New(t)
	c := loneVM()
	tracker := crashTracker{c}
	crashes := 0
	for at := start; at.Sub(start) < 24*time.Hour; at = at.Add(10 * time.Second) {
		c.expirePoison(at)
		if tracker.Admit(at, causes(7)).Remaining > 0 {
			continue
		}
		crashes++
		c.noteBroken(t.Context(), at, brokenRun(7, "e1", at))
		c.noteCrash(at, "e1", at, learnedByDial)
	}
	is.Equal(crashes, blockThreshold+3)
}

// After the time for which it was blocked, a request that crashes one more upstream is
// blocked again at once, for longer.
func TestBlockIsLongerAfterEachCrash(t *testing.T) {
	is := is.New(t)
	c := loneVM()
	at := start
	for _, want := range []time.Duration{0, 0, blockTime, 16 * blockTime, 256 * blockTime} {
		c.noteBroken(t.Context(), at, brokenRun(7, "e1", at))
		c.noteCrash(at, "e1", at, learnedByDial)
		is.Equal(c.remaining(at, 7), want)
		at = at.Add(max(want, time.Second))
		c.expirePoison(at)
		is.Equal(c.remaining(at, 7), time.Duration(0))
	}
}

// Guards against the answer to another caller of the same content that ends the suspicion
// of a request which crashes upstreams (incident BUDGET, a request that crashes replicas).
func TestAnswerToAnotherCallerDoesNotClearARequest(t *testing.T) {
	is := is.New(t)
	vm := loneVM()
	content := crash.Cause{Kind: crash.Content, Print: 8}
	request, another := append(causes(7), content), append(causes(9), content)
	at := start
	for _, id := range []string{"e1", "e2", "e3"} {
		at = at.Add(time.Second)
		is.Equal(crashTracker{vm}.Admit(at, request).Remaining, time.Duration(0))
		vm.noteBroken(t.Context(), at, requestBroken{relay.BrokenRun{Causes: request, Upstream: roster.Upstream{ID: id}, Sent: at}})
		vm.noteCrash(at, id, at, learnedByDial)
		vm.noteCompleted(start, requestCompleted{relay.CompletedRun{Causes: another, Status: http.StatusOK}})
	}
	is.True(crashTracker{vm}.Admit(at, request).Remaining > 0)
	is.Equal(crashTracker{vm}.Admit(at, another).Remaining, time.Duration(0))
}

// A request that its caller sends from one address after the other is known by its content.
func TestRequestFromManyAddressesIsBlocked(t *testing.T) {
	is := is.New(t)
	vm := loneVM()
	content := crash.Cause{Kind: crash.Content, Print: 8}
	at := start
	for i, id := range []string{"e1", "e2", "e3"} {
		at = at.Add(time.Second)
		request := append(causes(crash.Fingerprint(10+i)), content)
		vm.noteBroken(t.Context(), at, requestBroken{relay.BrokenRun{Causes: request, Upstream: roster.Upstream{ID: id}, Sent: at}})
		vm.noteCrash(at, id, at, learnedByDial)
	}
	is.Equal(crashTracker{vm}.Admit(at, append(causes(20), content)), relay.Block{Remaining: blockTime, Cause: content})
}
