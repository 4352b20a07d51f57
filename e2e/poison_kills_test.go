package e2e

import (
	"sync"
	"testing"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/stand"
	"github.com/tanagerlb/tanagerlb/internal/testlib"
)

// Guards against requests that crash upstreams and that are sent on by VMs that have just
// started (incident BUDGET with real processes). One call crashes the plain service and
// one prompt the engines, while VMs are killed in series.
func TestPoisonCallsAreBlockedWhileVMsAreKilled(t *testing.T) {
	t.Parallel()
	const (
		callTime     = 14 * time.Second
		callInterval = 250 * time.Millisecond
		killInterval = 1500 * time.Millisecond
		downtime     = 500 * time.Millisecond
		// stableWindow and maxLate are the platform's bound: after the third crash by
		// more than this time, a request reaches upstreams at most three times.
		stableWindow = 3 * time.Second
		maxLate      = 3
	)
	f := testlib.NewFleet(t, testlib.FleetConfig{VMs: 6, Engines: 4, Slots: 4})
	f.MustPublish(f.PlainDocument())
	f.MustPublish(f.ModelDocument(adapters...))
	f.AwaitOwned()
	var mu sync.Mutex
	var crashes []time.Time
	f.Service.CrashOn("arsenic", func() {
		mu.Lock()
		defer mu.Unlock()
		crashes = append(crashes, time.Now())
		f.ServiceProxy.SetMode(testlib.Down)
		time.AfterFunc(downtime, func() { f.ServiceProxy.SetMode(testlib.Forward) })
	})
	for _, e := range f.Engines {
		e.SetFaults(stand.EngineFaults{CrashPrompt: "arsenic", DowntimeMs: int(downtime.Milliseconds())})
	}
	end := time.Now().Add(callTime)
	var wait sync.WaitGroup
	wait.Go(func() { killInSeries(f, killInterval, end) })
	for i := 0; time.Now().Before(end); i++ {
		vm := f.VMs[i%len(f.VMs)]
		wait.Go(func() { testlib.Complete(vm.Caller, "school-1", "arsenic", 10) })
		wait.Go(func() {
			testlib.Post(vm.Caller, "/v1/services/mailbox-api/calls/list", nil, map[string]string{"body": "arsenic"})
		})
		time.Sleep(callInterval)
	}
	wait.Wait()
	late := 0
	for i, at := range crashes {
		if i >= 3 && at.Sub(crashes[2]) > stableWindow {
			late++
		}
	}
	engineCrashes := 0
	for _, e := range f.Engines {
		engineCrashes += e.Counts().Crashes
	}
	t.Logf("%d crashes of the plain service, %d of them late; %d of engines", len(crashes), late, engineCrashes)
	if late > maxLate {
		t.Errorf("the call crashed the plain service %d times later than %s after the third crash, want at most %d", late, stableWindow, maxLate)
	}
	if engineCrashes > 3+maxLate {
		t.Errorf("the prompt crashed engines %d times, want at most %d", engineCrashes, 3+maxLate)
	}
}
