package crash_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/pkg/crash"
)

func TestTallyBlocksAfterSeveralUpstreams(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	for _, c := range []struct {
		name      string
		upstreams []string
		gap       time.Duration
		blocked   bool
	}{
		{"three upstreams", []string{"e1", "e2", "e3"}, time.Second, true},
		{"one upstream, reported three times", []string{"e1", "e1", "e1"}, time.Second, false},
		{"two upstreams", []string{"e1", "e2"}, time.Second, false},
		{"too far apart", []string{"e1", "e2", "e3"}, time.Hour, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tally := crash.NewTally(crash.TallyConfig{Upstreams: 3, TTL: time.Minute, MaxRequests: 10})
			blocked := false
			for i, u := range c.upstreams {
				blocked = tally.RecordCrash(start.Add(time.Duration(i)*c.gap), 1, u)
			}
			is.Equal(blocked, c.blocked)
		})
	}
}

func TestTallyIsBounded(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_000_000, 0)
	tally := crash.NewTally(crash.TallyConfig{Upstreams: 2, TTL: time.Minute, MaxRequests: 10})
	tally.RecordCrash(start, 1, "e1")
	for i := range 100 { // many requests, each on a different upstream that crashes
		tally.RecordCrash(start.Add(time.Second), crash.Fingerprint(1000+i), fmt.Sprint("e", i))
	}
	is.True(!tally.RecordCrash(start.Add(2*time.Second), 1, "e2")) // the crash of e1 was evicted, so only e2 counts
	is.True(tally.RecordCrash(start.Add(3*time.Second), 1, "e3"))
}
