package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against VMs that call the store from each of their readers and writers while it is down
// (calls to the store in an outage).
func TestOneCallAtATimeFindsOutWhetherTheStoreAnswers(t *testing.T) {
	is := is.New(t)
	bounds := backoffRange{least: 200 * time.Millisecond, most: 800 * time.Millisecond}
	b := &breaker{}
	begin := func(now time.Time) (storeCall, bool, time.Duration) {
		call, ok, wait, _ := b.begin(now)
		return call, ok, wait
	}
	now := start
	for range breakerFailures { // calls that were in progress when the outage began
		call, ok, _ := begin(now)
		is.True(ok)
		is.Equal(b.end(now, call, callFailed, bounds), bounds.least)
	}
	for i := range 3 { // readers
		_, ok, wait := begin(now)
		is.True(!ok)
		is.Equal(wait, bounds.least)
		_ = i
	}
	now = now.Add(bounds.least)
	probe, ok, _ := begin(now)
	is.True(ok && probe.probe)
	_, ok, wait := begin(now)
	is.True(!ok)
	is.Equal(wait, time.Duration(0))                                    // the end of the probe matters
	is.Equal(b.end(now, storeCall{}, callFailed, bounds), bounds.least) // a read that waited for records
	_, ok, _ = begin(now)
	is.True(!ok) // the probe is still in progress
	is.Equal(b.end(now, probe, callFailed, bounds), 2*bounds.least)
	_, ok, wait = begin(now)
	is.True(!ok)
	is.Equal(wait, 2*bounds.least)

	now = now.Add(2 * bounds.least)
	probe, ok, _ = begin(now)
	is.True(ok)
	_, _, _, changed := b.begin(now)
	is.Equal(b.end(now, probe, callAnswered, bounds), time.Duration(0))
	<-changed
	for range 3 {
		_, ok, _ = begin(now)
		is.True(ok)
	}
}

// Guards against a probe that its caller cancels and that holds all other calls back for ever.
func TestProbeThatIsCanceledIsFollowedByAnother(t *testing.T) {
	is := is.New(t)
	bounds := backoffRange{least: time.Second, most: 3 * time.Second}
	b := &breaker{}
	for range breakerFailures {
		b.end(start, storeCall{}, callFailed, bounds)
	}
	now := start.Add(time.Second)
	probe, ok, _, _ := b.begin(now)
	is.True(ok)
	b.end(now, probe, callCanceled, bounds)
	_, ok, _, _ = b.begin(now)
	is.True(ok)
}
