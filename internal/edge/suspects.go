package edge

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/internal/relay"
	"github.com/tanagerlb/tanagerlb/pkg/crash"
	"github.com/tanagerlb/tanagerlb/pkg/gossip"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
	"github.com/tanagerlb/tanagerlb/pkg/roster"
)

// outage is a time in which an upstream breaks off all requests. One that was sent
// after its begin cannot be its cause.
type outage struct{ began, last time.Time }

// isCause reports whether a run that breaks off at now may have been the cause. The
// outage is over when something arrived from the upstream, or when it had time to
// restart without a broken request.
func (p *poison) isCause(now time.Time, e requestBroken) bool {
	o, ok := p.outages[e.Upstream.ID]
	if !ok || e.Heard.After(o.last) || e.Sent.Sub(o.last) > restartTime {
		p.outages[e.Upstream.ID] = &outage{began: now, last: now}
		return true
	}
	o.last = now
	return !e.Sent.After(o.began)
}

// mayBeCause reports whether a run that ended early, and not by its upstream, may be the cause of a
// crash. It is no sign of an outage.
func (p *poison) mayBeCause(e requestBroken) bool {
	o, ok := p.outages[e.Upstream.ID]
	return !ok || e.Heard.After(o.last) || e.Sent.Sub(o.last) > restartTime || !e.Sent.After(o.began)
}

// suspect is a run of a request that may have crashed its upstream.
type suspect struct {
	run    crash.Run
	causes []suspectCause
	silent bool             // see relay.BrokenRun
	early  func() time.Time // see relay.BrokenRun
}

// crashedBy returns the run of a suspect whose upstream is known to have crashed before a time,
// which may be one of the upstream's clock.
func (s *suspect) crashedBy(now, before time.Time) crash.Run {
	run := s.run
	if s.silent {
		run.Silence = max(min(before.Sub(run.Ended), now.Sub(run.Ended)), 0)
	}
	return run
}

// survived reports whether the upstream, which crashed before a time, has sent something after the
// end of a run that ended early.
func (s *suspect) survived(before time.Time) bool {
	if s.early == nil {
		return false
	}
	heard := s.early()
	return heard.After(s.run.Ended) && !heard.After(before)
}

// handlePoison handles the events about poison requests. It returns false for any other
// event.
func (c *control) handlePoison(ctx context.Context, now time.Time, e event) bool {
	switch e := e.(type) {
	case requestBroken:
		c.noteBroken(ctx, now, e)
	case connectionEnded:
		c.checkEnded(ctx, e)
	case upstreamChecked:
		delete(c.poison.probing, e.upstream)
	case unreachable:
		c.noteCrash(now, e.upstream, now, e.learned)
	case unresponsive:
		c.checkProcess(ctx, e.upstream, e.since)
	case crashesSaved:
		c.noteSaved(now, e)
	case requestCompleted:
		c.poison.noteComplete(now, e.Causes)
		c.noteCompleted(now, e)
	default:
		return false
	}
	return true
}

// processCheck checks an upstream until it is known whether its process still runs.
type processCheck struct {
	check       func(context.Context, roster.Upstream, string) error
	upstream    roster.Upstream
	path        string    // of its health check
	repeats     int       // how often it is checked again if it accepts connections but does not answer
	silentSince time.Time // begin of the first attempt to connect since which it has not responded; zero if it has
}

// run returns how it was learned that the process has ended, or "" if it runs or that is not known.
func (p *processCheck) run(ctx context.Context) string {
	time.Sleep(probeDelay)
	for {
		began := time.Now()
		err := p.check(ctx, p.upstream, p.path)
		if ctx.Err() != nil {
			return ""
		}
		learned, decided := p.decide(began, err)
		if decided {
			return learned
		}
		if errors.Is(err, errSilent) { // which may be found at once
			time.Sleep(time.Until(began.Add(checkInterval)))
		}
	}
}

// decide handles the result of a check that began at a time. It returns false if the upstream is to
// be checked again. A sound upstream may be silent for a while; one whose process has ended refuses
// connections, or another process answers.
func (p *processCheck) decide(began time.Time, err error) (learned string, decided bool) {
	switch {
	case err == nil:
		return "", true
	case errors.Is(err, errReplaced):
		return learnedByCheck, true
	case errors.Is(err, errNoAnswer):
		// A process that crashed may leave connections that never answer, until the next one starts.
		p.silentSince = time.Time{}
		p.repeats--
		return "", p.repeats < 0
	case errors.Is(err, errSilent):
		if p.silentSince.IsZero() {
			p.silentSince = began
		}
		// An attempt to connect sends its packet when it begins.
		return learnedFromSilence, began.Sub(p.silentSince) >= maxSilence
	default:
		return learnedByDial, true
	}
}

// crashProbe checks whether an upstream's process still runs.
type crashProbe struct {
	processCheck
	post func(event)
}

func (p *crashProbe) run(ctx context.Context) {
	if learned := p.processCheck.run(ctx); learned != "" {
		p.post(unreachable{upstream: p.upstream.ID, learned: learned})
	}
	p.post(upstreamChecked{upstream: p.upstream.ID})
}

// endProbe checks whether the process of the upstream of an answer that ended with its
// connection still runs. If it does not, the request counts as one that broke off.
type endProbe struct {
	processCheck
	post  func(event)
	ended relay.CompletedRun
}

func (p *endProbe) run(ctx context.Context) {
	learned := p.processCheck.run(ctx)
	switch {
	case ctx.Err() != nil:
	case learned != "":
		p.post(requestBroken{relay.BrokenRun{
			Request: p.ended.Request, Causes: p.ended.Causes, Caller: p.ended.Caller, Upstream: p.ended.Upstream, Sent: p.ended.Sent, Heard: p.ended.Sent,
		}})
		p.post(unreachable{upstream: p.upstream.ID, learned: learned})
	default:
		p.post(requestCompleted{p.ended})
	}
	p.post(upstreamChecked{upstream: p.upstream.ID})
}

// checkEnded checks the upstream of an answer that ended with its connection, unless it is
// being checked: another answer will tell.
func (c *control) checkEnded(ctx context.Context, e connectionEnded) {
	if c.poison.probing[e.Upstream.ID] {
		return
	}
	c.poison.probing[e.Upstream.ID] = true
	go (&endProbe{processCheck: c.newProcessCheck(e.Upstream), post: c.post, ended: e.CompletedRun}).run(ctx)
}

// checkProcess checks whether an upstream's process still runs, unless that is being checked.
// silentSince is when an attempt to connect began to which it did not respond; zero if there was none.
func (c *control) checkProcess(ctx context.Context, u roster.Upstream, silentSince time.Time) {
	if c.poison.probing[u.ID] {
		return
	}
	c.poison.probing[u.ID] = true
	p := &crashProbe{processCheck: c.newProcessCheck(u), post: c.post}
	p.repeats, p.silentSince = repeatedChecks, silentSince
	go p.run(ctx)
}

func (c *control) newProcessCheck(u roster.Upstream) processCheck {
	return processCheck{check: c.check, upstream: u, path: c.healthPath(u.Service)}
}

// noteBroken stores a request that broke off, in case its upstream turns out to have
// crashed. The upstream is checked at once: this VM may have no other request for it,
// and the store drops its entry only after seconds.
func (c *control) noteBroken(ctx context.Context, now time.Time, e requestBroken) {
	id := e.Upstream.ID
	if e.Early == nil {
		c.checkProcess(ctx, e.Upstream, time.Time{})
	}
	if e.Early == nil && !c.poison.isCause(now, e) || e.Early != nil && !c.poison.mayBeCause(e) {
		return
	}
	list := c.poison.pending[id]
	if len(list) < maxCauses {
		c.poison.runs++
		s := suspect{run: crash.Run{
			ID: crash.RunID(c.self.Name, strconv.FormatInt(c.self.Boot, 10), c.poison.runs), Upstream: id, Sent: e.Sent, Ended: now,
		}, silent: e.Silent, early: e.Early}
		for _, cause := range e.Causes {
			if c.poison.isProved(now, cause.Kind, cause.Print) {
				continue
			}
			s.causes = append(s.causes, suspectCause{Print: cause.Print, Kind: cause.Kind, Harmless: c.poison.isHarmless(now, cause.Print)})
		}
		list = append(list, s)
	}
	c.poison.pending[id], c.poison.stale = list, true
	c.metrics.Suspected("broke off")
	c.logger.Info("crash: request broke off", zap.String("request", e.Request), zap.String("upstream", id),
		zap.Stringer("print", e.Causes[0].Print), zap.Stringer("caller", e.Caller), zap.Bool("silent", e.Silent), zap.Bool("early", e.Early != nil), zap.Stringers("parts", e.Parts))
	if e.Sent.Before(c.poison.crashed[id]) {
		c.reportSuspects(now, id, learnedBefore)
	}
}

// noteCrash handles the crash of an upstream, which was before the given time. learned
// tells how this VM learned of it. Each request that broke off there shortly before may
// be the cause, and so may those that are still to break off: a connection may stay
// open for seconds after its upstream is gone.
func (c *control) noteCrash(now time.Time, upstream string, before time.Time, learned string) {
	if before.After(c.poison.crashed[upstream]) {
		c.poison.crashed[upstream] = before
	}
	c.reportSuspects(now, upstream, learned)
}

// dropOldSuspects forgets the requests that broke off at an upstream too long ago for its
// crash to be detected still.
func (c *control) dropOldSuspects(now time.Time, upstream string) {
	list := c.poison.pending[upstream]
	kept := slices.DeleteFunc(slices.Clone(list), func(s suspect) bool { return now.Sub(s.run.Ended) > detectionTime })
	if len(kept) == len(list) {
		return
	}
	c.metrics.SuspectsForgotten(len(list) - len(kept))
	c.poison.stale = true
	c.poison.pending[upstream] = kept
	if len(kept) == 0 {
		delete(c.poison.pending, upstream)
	}
}

// reportSuspects counts the crash of an upstream against the requests that broke off
// there, and tells all VMs.
func (c *control) reportSuspects(now time.Time, upstream, learned string) {
	c.dropOldSuspects(now, upstream)
	list := c.poison.pending[upstream]
	if len(list) == 0 {
		return
	}
	delete(c.poison.pending, upstream)
	c.poison.stale = true
	list = slices.DeleteFunc(list, func(s suspect) bool { return s.survived(c.poison.crashed[upstream]) })
	if len(list) == 0 {
		return
	}
	c.metrics.CrashLearned(learned)
	c.logger.Info("crash: upstream crashed", zap.String("upstream", upstream), zap.String("learned", learned),
		zap.Int("suspects", len(list)), zap.Duration("after", now.Sub(list[0].run.Ended)))
	var runs []crashRun
	for _, s := range list {
		run := newCrashRun(now, s.crashedBy(now, c.poison.crashed[upstream]))
		run.Causes = s.causes
		runs = append(runs, run)
	}
	for _, part := range splitRuns(runs) {
		c.sendToAll(packet{CrashReport: &crashReport{Runs: part}})
	}
	for _, f := range c.countCrashes(now, runs) {
		c.sendBlock(now, f)
	}
}

// splitRuns splits runs into lists that fit in a packet each.
func splitRuns(runs []crashRun) [][]crashRun {
	var lists [][]crashRun
	begin, size := 0, 0
	for i, r := range runs {
		next := runSize + len(r.Causes)
		if size > 0 && size+next > packetSize {
			lists = append(lists, runs[begin:i])
			begin, size = i, 0
		}
		size += next
	}
	if begin < len(runs) {
		lists = append(lists, runs[begin:])
	}
	return lists
}

// sendToAll sends a packet to all other VMs, also to those that this VM has not heard of
// yet: it may have just started.
func (c *control) sendToAll(p packet) {
	for _, m := range c.gossip.Members() {
		if m.Status != gossip.Dead {
			c.transport.send(m.VM.Peer, p)
		}
	}
}

// countCrashes counts crashes against the requests that ran meanwhile, and returns the
// causes that are blocked because of them.
func (c *control) countCrashes(now time.Time, runs []crashRun) []crash.Fingerprint {
	c.poison.reviewAt = time.Time{} // saves the new count with the next tick
	return c.recordCrashes(now, runs)
}

// handleCrashReport counts crashes that another VM reports. The VMs that are to save the
// crashes of a cause also tell the others to block it, and the reporter, which they may
// not know yet: it may not know of the earlier crashes.
func (c *control) handleCrashReport(now time.Time, from netip.AddrPort, runs []crashRun) {
	for _, f := range c.countCrashes(now, runs) {
		if c.savesCrashes(f) {
			c.sendBlock(now, f)
			c.transport.send(from, packet{BlockNotice: c.newBlockNotice(now, f)})
		}
	}
}

// sendBlock tells all VMs to block a cause.
func (c *control) sendBlock(now time.Time, f crash.Fingerprint) {
	c.sendToAll(packet{BlockNotice: c.newBlockNotice(now, f)})
}

func (c *control) newBlockNotice(now time.Time, f crash.Fingerprint) *blockNotice {
	return &blockNotice{Runs: newCrashRuns(now, f, c.poison.tracker.Runs(f))}
}

// savesCrashes reports whether this VM is one of those that save the crashes under a
// cause, by the VMs that it knows.
func (c *control) savesCrashes(f crash.Fingerprint) bool {
	names, _ := c.liveVMs()
	return slices.Contains(rank.Top(f.String(), names, tallyVMs), c.self.Name)
}

// askForCrashes asks a VM that has run for longer than this one for the crashes that it
// knows of, unless enough VMs were asked.
func (c *control) askForCrashes(vm gossip.VM) {
	if vm.Boot >= c.self.Boot || len(c.poison.asked) >= askedVMs || c.poison.asked[vm.Name] {
		return
	}
	c.poison.asked[vm.Name] = true
	c.transport.send(vm.Peer, packet{CrashQuery: &crashQuery{}})
}

// replyCrashes sends all crashes under requests that this VM knows of.
func (c *control) replyCrashes(now time.Time, to netip.AddrPort) {
	for _, part := range splitRuns(c.knownCrashes(now)) {
		c.transport.send(to, packet{CrashReport: &crashReport{Runs: part}})
	}
}

// knownCrashes returns all crashes under requests that this VM knows of.
func (c *control) knownCrashes(now time.Time) []crashRun {
	var runs []crashRun
	index := map[uint64]int{} // of each run, by its ID
	for _, f := range c.poison.tracker.Repeated(1) {
		for _, r := range newCrashRuns(now, f, c.poison.tracker.Runs(f)) {
			if i, ok := index[r.ID]; ok {
				runs[i].Causes = append(runs[i].Causes, r.Causes...)
				continue
			}
			index[r.ID] = len(runs)
			runs = append(runs, r)
		}
	}
	return runs
}

// recordCrashes records crashes, and returns the causes that are blocked because of them.
func (c *control) recordCrashes(now time.Time, runs []crashRun) []crash.Fingerprint {
	var changed []suspectCause
	for _, r := range runs {
		for _, cause := range r.Causes {
			run := r.at(now, cause)
			if c.poison.isProved(now, cause.Kind, cause.Print) || c.poison.isOutdated(cause.Print, run) || !c.poison.tracker.Record(now, cause.Print, run) {
				continue
			}
			changed = append(changed, cause)
			c.metrics.Suspected("counted")
			crashes := len(c.poison.tracker.Runs(cause.Print))
			level := zap.InfoLevel
			if crashes == 1 { // usually no cause, and each VM counts it
				level = zap.DebugLevel
			}
			c.logger.Log(level, "crash: counted", zap.String("upstream", r.Upstream), zap.Stringer("cause", cause.Kind), zap.Stringer("print", cause.Print),
				zap.Int("crashes", crashes), zap.Int("counted", len(c.poison.tracker.Counted(cause.Print))), zap.Bool("harmless", cause.Harmless))
		}
	}
	c.poison.stale = c.poison.stale || len(changed) > 0
	// Only after all crashes are recorded is it known which are explained.
	var blocked []crash.Fingerprint
	for _, cause := range changed {
		if until := c.poison.tracker.BlockedUntil(cause.Print); now.Before(until) && !slices.Contains(blocked, cause.Print) {
			c.logger.Warn("relay: blocking requests that crash upstreams", zap.Stringer("cause", cause.Kind), zap.Stringer("print", cause.Print), zap.Duration("for", until.Sub(now)))
			blocked = append(blocked, cause.Print)
		}
	}
	if len(blocked) > 0 {
		c.publishPoison(now)
	}
	return blocked
}

// noteCompleted handles the complete run of a request under whose causes upstreams have
// crashed before, or may have: they are not to blame.
func (c *control) noteCompleted(now time.Time, e requestCompleted) {
	notice := &clearNotice{Request: e.Request}
	for _, cause := range e.Causes {
		if c.clear(now, cause.Print, zap.String("request", e.Request), zap.Stringer("caller", e.Caller), zap.String("upstream", e.Upstream.ID), zap.Int("status", e.Status)) {
			notice.Causes = append(notice.Causes, cause.Print)
		}
	}
	if len(notice.Causes) > 0 {
		c.sendToAll(packet{ClearNotice: notice})
	}
}

// applyClear forgets the crashes under causes with which a request ran to its end at
// another VM.
func (c *control) applyClear(now time.Time, from netip.AddrPort, n *clearNotice) {
	var counted []crash.Fingerprint
	for _, f := range n.Causes {
		if c.clear(now, f, zap.String("request", n.Request), zap.Stringer("from", from)) {
			counted = append(counted, f)
		}
	}
	if n.Reply && len(counted) > 0 {
		c.sendToAll(packet{ClearNotice: &clearNotice{Causes: counted}})
	}
}

// handleBlockNotice records the crashes for which another VM blocks causes, and objects if
// one of them is proved to be none.
func (c *control) handleBlockNotice(now time.Time, from netip.AddrPort, runs []crashRun) {
	var proved []crash.Fingerprint
	for _, r := range runs {
		for _, cause := range r.Causes {
			if c.poison.isProved(now, cause.Kind, cause.Print) && !slices.Contains(proved, cause.Print) {
				proved = append(proved, cause.Print)
			}
		}
	}
	if len(proved) > 0 {
		c.logger.Info("crash: a part that a VM blocks was in a whole answer", zap.Stringer("from", from), zap.Strings("prints", crash.Texts(proved)))
		c.transport.send(from, packet{ClearNotice: &clearNotice{Causes: proved, Reply: true}})
	}
	c.recordCrashes(now, runs)
}

// clear forgets the crashes under a cause. It reports whether there were any, and logs
// them with the fields, which tell why.
func (c *control) clear(now time.Time, f crash.Fingerprint, why ...zap.Field) bool {
	crashes := len(c.poison.tracker.Runs(f))
	counted, blocked := c.poison.forget(now, f)
	if blocked {
		c.publishPoison(now)
	}
	if !counted {
		return false
	}
	c.metrics.Suspected("cleared")
	fields := append([]zap.Field{zap.Stringer("print", f), zap.Int("crashes", crashes), zap.Bool("blocked", blocked)}, why...)
	c.logger.Info("crash: request ran to its end", fields...)
	return true
}
