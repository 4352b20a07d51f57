package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tanagerlb/tanagerlb/pkg/roster"
)

// An upstream that has started anew has not asked to wait, unless it asked after its start
// and the VM learned of the start only later (soak seed 3202).
func TestPauseEndsWithAnotherStart(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(10_000)
	u := roster.Upstream{ID: "u", StartTime: 1000}
	var p pauses
	p.note(now, u, 2*time.Second)
	p.note(now, u, time.Second)
	is.Equal(p.remaining(now, u), 2*time.Second)
	for startTime, want := range map[int64]time.Duration{1000: 2 * time.Second, 9000: 2 * time.Second, 10_500: 0} {
		u.StartTime = startTime
		is.Equal(p.remaining(now, u), want)
	}
	u.StartTime = 10_500
	p.note(now.Add(time.Second), u, 500*time.Millisecond)
	is.Equal(p.remaining(now.Add(time.Second), u), 500*time.Millisecond)

	wait, paused := p.shortest(now.Add(time.Second), []roster.Upstream{u, {ID: "v"}})
	is.Equal(wait, 500*time.Millisecond)
	is.Equal(paused, map[string]bool{"u": true})
	p.expire(now.Add(2 * time.Second))
	is.Equal(len(p.of), 0)
}
