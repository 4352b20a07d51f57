package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/pkg/roster"
)

// An upstream that has started anew has not asked to wait, unless it asked after its start
// and the VM learned of the start only later (soak seed 3202). Its clock may be ahead of the VM's.
func TestPauseEndsWithAnotherStart(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(10_000)
	u := roster.Upstream{ID: "u", StartTime: 1000}
	var p pauses
	p.note(now, u, time.Minute)
	p.note(now, u, time.Second)
	is.Equal(p.remaining(now, u), time.Minute)
	for startTime, want := range map[int64]time.Duration{1000: time.Minute, 9000: time.Minute, 10_500: maxClockSkew, 20_000: maxClockSkew, 20_001: 0} {
		u.StartTime = startTime
		is.Equal(p.remaining(now, u), want)
	}
	u.StartTime = 15_000
	is.Equal(p.remaining(now.Add(maxClockSkew), u), time.Duration(0))
	now = now.Add(2 * maxClockSkew)
	p.note(now, u, 1500*time.Millisecond)
	is.Equal(p.remaining(now, u), 1500*time.Millisecond)
	now = now.Add(time.Second)

	wait, paused := p.shortest(now, []roster.Upstream{u, {ID: "v"}})
	is.Equal(wait, 500*time.Millisecond)
	is.Equal(paused, map[string]bool{"u": true})
	p.expire(now.Add(time.Second))
	is.Equal(len(p.of), 0)
}
