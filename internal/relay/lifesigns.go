package relay

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/roster"
)

// lifeSigns holds when something last arrived from each upstream, for any request.
type lifeSigns struct {
	mu      sync.Mutex
	started time.Time
	at      map[string]*lifeSign
}

// lifeSign is the time of the last arrival from one upstream. It is kept as the time
// since the start, since the time of day may jump.
type lifeSign struct {
	started time.Time
	elapsed atomic.Int64
}

func (s *lifeSign) note(now time.Time) { s.elapsed.Store(int64(now.Sub(s.started))) }

func (s *lifeSign) time() time.Time { return s.started.Add(time.Duration(s.elapsed.Load())) }

// sentRun is a run of the request on an upstream.
type sentRun struct {
	upstream roster.Upstream
	sent     time.Time // when the request was sent
	heard    time.Time // when something last arrived for this run; at first, when it was sent
	sign     *lifeSign
	events   int // events that arrived
}

// beginRun is called when the request is sent to an upstream.
func (x *exchange) beginRun(now time.Time, u roster.Upstream) *sentRun {
	x.run = &sentRun{upstream: u, sent: now, heard: now, sign: x.lifeSigns.of(now, u.ID)}
	return x.run
}

// note records that something arrived for the run.
func (r *sentRun) note(now time.Time) {
	r.heard = now
	r.sign.note(now)
}

// transitTime is how long after a request is sent data may still arrive that its upstream
// sent before it got the request.
const transitTime = 50 * time.Millisecond

// silent reports whether the upstream has sent nothing since it got the request, or since
// it last sent something for this run, neither for this run nor for others.
func (r *sentRun) silent() bool { return !r.sign.time().After(r.heard.Add(transitTime)) }

// lifeSignTTL is how long an upstream that sends nothing is remembered.
const lifeSignTTL = time.Minute

// of returns the life sign of an upstream.
func (l *lifeSigns) of(now time.Time, upstream string) *lifeSign {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.at[upstream]
	if !ok {
		s = &lifeSign{started: l.started}
		s.note(now)
		l.at[upstream] = s
	}
	return s
}

// expire forgets upstreams that have sent nothing for long.
func (l *lifeSigns) expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for upstream, s := range l.at {
		if now.Sub(s.time()) > lifeSignTTL {
			delete(l.at, upstream)
		}
	}
}
