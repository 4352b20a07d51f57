package edge

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tanagerlb/tanagerlb/internal/relay"
	"github.com/tanagerlb/tanagerlb/pkg/gossip"
	"github.com/tanagerlb/tanagerlb/pkg/origin"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
)

const (
	// originCopies is the number of other VMs that are told who began a stream.
	originCopies = 3
	// originAsked is the number of VMs that are asked who began a stream. It is larger than
	// originCopies, as other VMs may have been alive when the stream began.
	originAsked = 8
	// originTimeout is how long a VM waits for them, and originSettle how long for more replies
	// after one that knows it: an id that comes again stands for the newer stream.
	originTimeout = 160 * time.Millisecond
	originSettle  = 20 * time.Millisecond
	// originLifetime is how long a stream is remembered, and originHistory how long a version of
	// the engines' software that no engine has any more.
	originLifetime = time.Minute
	originHistory  = 2 * time.Minute
	// maxOrigins bounds the number of streams that are remembered.
	maxOrigins = 20_000
)

// originNotice tells a VM who began a stream.
type originNotice struct {
	Stream   origin.Key `msgpack:"s"`
	Service  string     `msgpack:"v"`
	Software string     `msgpack:"w"`
}

// originQuery asks a VM who began a stream.
type originQuery struct {
	ID      uint64        `msgpack:"i"`
	Stream  origin.Key    `msgpack:"s"`
	Service string        `msgpack:"v"`
	MaxAge  time.Duration `msgpack:"a"` // how long ago the stream may have begun
}

// originReply is the reply to an originQuery.
type originReply struct {
	ID       uint64        `msgpack:"i"`
	Known    bool          `msgpack:"k,omitempty"`
	Software string        `msgpack:"w,omitempty"`
	Age      time.Duration `msgpack:"a,omitempty"` // time since the VM was last told
	Versions []string      `msgpack:"l,omitempty"` // all versions that engines of the service have had in MaxAge; set if it is not known
	from     netip.AddrPort
}

// origins knows who began the streams that callers may take up again. Each is recorded at the VM
// that passes its first event on and at others that rendezvous hashing chooses, before that
// event is passed on: the caller comes to any VM, and the first one may be dead by then.
type origins struct {
	self     gossip.VM
	send     func(netip.AddrPort, packet)
	vms      *atomic.Pointer[map[string]gossip.VM] // live VMs by name, this one included
	sequence atomic.Uint64
	pending  replies[uint64, *originReply]
	saver    *streamSaver
	// readSince waits until this VM has read which engines there are, at a time since the boot of
	// the machine or later. It returns false if that takes too long.
	readSince func(ctx context.Context, began time.Duration) bool
	mu        sync.Mutex // guards the fields below
	table     *origin.Table
	history   *origin.History
	several   map[string]bool // services that have several versions, whose streams are saved
}

func newOrigins(self gossip.VM, send func(netip.AddrPort, packet), vms *atomic.Pointer[map[string]gossip.VM], saver *streamSaver) *origins {
	o := &origins{
		self: self, send: send, vms: vms, saver: saver, history: origin.NewHistory(), several: map[string]bool{},
		readSince: func(context.Context, time.Duration) bool { return true },
		table:     origin.New(origin.Config{Lifetime: originLifetime, MaxStreams: maxOrigins}),
	}
	saver.recall = o.recall
	return o
}

// others returns other live VMs in rendezvous order for a stream, at most count.
func (o *origins) others(stream origin.Key, count int) []gossip.VM {
	vms := *o.vms.Load()
	names := slices.DeleteFunc(slices.Collect(maps.Keys(vms)), func(name string) bool { return name == o.self.Name })
	var list []gossip.VM
	for _, name := range rank.Top(string(stream[:]), names, count) {
		list = append(list, vms[name])
	}
	return list
}

// Begin implements relay.Origins.
func (o *origins) Begin(now time.Time, stream string, from origin.Origin) {
	key := origin.KeyOf(stream)
	o.note(now, key, from)
	notice := packet{OriginNotice: &originNotice{Stream: key, Service: from.Service, Software: from.Software}}
	for _, vm := range o.others(key, originCopies) {
		o.send(vm.Peer, notice)
	}
	if o.saves(from.Service) {
		o.saver.add(now, origin.Stream{Key: key, Origin: from, Began: now})
	}
}

// saves reports whether the streams of a service are saved in the store.
func (o *origins) saves(service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.several[service]
}

func (o *origins) note(now time.Time, stream origin.Key, from origin.Origin) {
	o.mu.Lock()
	o.table.Note(now, stream, from)
	o.history.Note(now, from)
	unsaved := o.reviewVersions(now, from.Service)
	o.mu.Unlock()
	o.saver.add(now, unsaved...)
}

// noteVersions records the versions of the engines that are known at a time.
func (o *origins) noteVersions(now, at time.Time, list ...origin.Origin) {
	var unsaved []origin.Stream
	o.mu.Lock()
	for _, from := range list {
		o.history.Note(at, from)
		unsaved = append(unsaved, o.reviewVersions(now, from.Service)...)
	}
	o.mu.Unlock()
	o.saver.add(now, unsaved...)
}

// reviewVersions updates whether a service has several versions. It returns the streams that
// began while it had one, if it has just become known that there are several.
func (o *origins) reviewVersions(now time.Time, service string) []origin.Stream {
	several := len(o.history.Since(now.Add(-originLifetime), service)) > 1
	if several == o.several[service] {
		return nil
	}
	o.several[service] = several
	if !several {
		return nil
	}
	return o.table.Streams(now, service)
}

// saveAgain saves all streams again that callers may take up, as the store has come back from a
// copy.
func (o *origins) saveAgain(now time.Time) {
	var unsaved []origin.Stream
	o.mu.Lock()
	for service, several := range o.several {
		if several {
			unsaved = append(unsaved, o.table.Streams(now, service)...)
		}
	}
	o.mu.Unlock()
	o.saver.add(now, unsaved...)
}

// recall takes over what the store knows of streams.
func (o *origins) recall(now time.Time, list []origin.Stream) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range list {
		o.table.Recall(now, s)
		o.history.Note(s.Began, s.Origin)
	}
}

// lately returns when the versions of each service were last known, without those that are
// forgotten.
func (o *origins) lately(now time.Time) map[origin.Origin]time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history.Forget(now.Add(-originHistory))
	return o.history.All()
}

// lookUp returns what this VM knows of a stream.
func (o *origins) lookUp(now time.Time, q *originQuery) *originReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	if from, age, ok := o.table.Get(now, q.Service, q.Stream); ok {
		return &originReply{ID: q.ID, Known: true, Software: from.Software, Age: age}
	}
	return &originReply{ID: q.ID, Versions: o.history.Since(now.Add(-q.MaxAge), q.Service)}
}

// Find implements relay.Origins. If no VM knows the stream, the store may. If it doesn't either,
// it is known who began it only if all engines that any of them has known in maxAge have the same
// software.
func (o *origins) Find(ctx context.Context, service, stream string, maxAge time.Duration) relay.Found {
	now, began := time.Now(), sinceBoot()
	query := &originQuery{ID: o.sequence.Add(1), Stream: origin.KeyOf(stream), Service: service, MaxAge: maxAge}
	own := o.lookUp(now, query)
	answers := o.ask(ctx, query, own)
	named := stream != ""
	switch {
	case !named:
	case answers.newest != nil && answers.newest == own:
		return relay.Found{Known: true, Software: own.Software, Source: "own"}
	case answers.newest != nil:
		return relay.Found{Known: true, Software: answers.newest.Software, Source: "vm"}
	}
	read := o.saver.load(ctx, now) && o.readSince(ctx, began)
	if saved := o.lookUp(time.Now(), query); saved.Known && named {
		return relay.Found{Known: true, Software: saved.Software, Source: "store"}
	} else if read {
		answers.add(saved.Versions)
	}
	// A VM that is cut off from the others may not know of a version that they use.
	if versions := slices.Collect(maps.Keys(answers.versions)); len(versions) == 1 && (read || answers.complete) {
		return relay.Found{Known: true, Software: versions[0], Source: "only version"}
	}
	return relay.Found{Source: "unknown"}
}

// originAnswers is what VMs know of the origin of a stream.
type originAnswers struct {
	newest   *originReply    // nil if nobody knows it
	versions map[string]bool // versions that the engines of the service have had, if nobody knows it
	complete bool            // other VMs were asked, and all have answered
}

func (a *originAnswers) add(versions []string) {
	for _, version := range versions {
		a.versions[version] = true
	}
}

// ask asks other VMs who began a stream, and adds their replies to this VM's own.
func (o *origins) ask(ctx context.Context, query *originQuery, own *originReply) originAnswers {
	answers := originAnswers{versions: map[string]bool{}}
	answers.add(own.Versions)
	if own.Known {
		answers.newest = own
	}
	silent := map[netip.AddrPort]bool{}
	for _, vm := range o.others(query.Stream, originAsked) {
		silent[vm.Peer] = true
	}
	asked := len(silent)
	list, done := o.pending.expect(query.ID)
	defer done()
	resend := time.NewTicker(resendInterval)
	defer resend.Stop()
	wait := originTimeout
	if own.Known {
		wait = originSettle
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for send := true; len(silent) > 0; {
		for peer := range silent {
			if send {
				o.send(peer, packet{OriginQuery: query})
			}
		}
		send = false
		select {
		case r := <-list:
			if r.Known {
				timeout.Reset(originSettle)
			}
			if r.Known && (answers.newest == nil || r.Age < answers.newest.Age) {
				answers.newest = r
			}
			answers.add(r.Versions)
			delete(silent, r.from)
		case <-resend.C:
			send = true
		case <-timeout.C:
			return answers
		case <-ctx.Done():
			return answers
		}
	}
	answers.complete = asked > 0
	return answers
}

// handle handles a packet about the origin of a stream, and returns false for any other one.
func (o *origins) handle(now time.Time, from netip.AddrPort, p packet) bool {
	switch {
	case o.saver.handle(now, p):
	case p.OriginNotice != nil:
		o.note(now, p.OriginNotice.Stream, origin.Origin{Service: p.OriginNotice.Service, Software: p.OriginNotice.Software})
	case p.OriginQuery != nil:
		o.send(from, packet{OriginReply: o.lookUp(now, p.OriginQuery)})
	case p.OriginReply != nil:
		p.OriginReply.from = from
		o.pending.pass(p.OriginReply.ID, p.OriginReply)
	default:
		return false
	}
	return true
}
