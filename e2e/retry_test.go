package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/stand"
	"github.com/tanagerlb/tanagerlb/internal/testlib"
)

// killInSeries kills one VM after the other, and starts it again at once, until end.
func killInSeries(f *testlib.Fleet, interval time.Duration, end time.Time) {
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(interval)
		vm := f.VMs[i%len(f.VMs)]
		vm.Kill()
		vm.Start()
	}
}

// Guards against retries beyond the limit of all VMs together, because each process
// starts with retries of its own (incident BUDGET with real processes). Each call
// breaks off, and VMs are killed in series.
func TestRetriesOfAllVMsStayWithinTheLimit(t *testing.T) {
	t.Parallel()
	const (
		callTime     = 10 * time.Second // the window of the limit
		callInterval = 100 * time.Millisecond
		killInterval = 500 * time.Millisecond
		ratio, slack = 0.2, 60 // the defaults of limits.retries and limits.slack
	)
	f := testlib.NewFleet(t, testlib.FleetConfig{})
	f.MustPublish(f.PlainDocument())
	f.Service.SetFaults(stand.Faults{LoseAnswers: 1_000_000})
	end := time.Now().Add(callTime)
	var wait sync.WaitGroup
	wait.Go(func() { killInSeries(f, killInterval, end) })
	calls := 0
	for ; time.Now().Before(end); calls++ {
		vm, headers := f.VMs[calls%len(f.VMs)], map[string]string{"Idempotency-Key": fmt.Sprintf("call-%06d", calls)}
		wait.Go(func() {
			testlib.Post(vm.Caller, "/v1/services/mailbox-api/calls/list", headers, map[string]string{"body": "x"})
		})
		time.Sleep(callInterval)
	}
	wait.Wait()
	retries := 0
	for _, runs := range f.Service.Counts() {
		retries += runs - 1
	}
	allowed := ratio*float64(calls) + slack
	t.Logf("%d calls, %d retries, allowed %.0f", calls, retries, allowed)
	if float64(retries) > allowed {
		t.Errorf("%d retries of %d calls, allowed %.0f", retries, calls, allowed)
	}
	if len(f.Service.Counts()) < calls/4 {
		t.Errorf("%d of %d calls reached the service", len(f.Service.Counts()), calls)
	}
}
