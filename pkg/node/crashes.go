package node

import (
	"maps"
	"slices"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/crash"
	"github.com/tanagerlb/tanagerlb/pkg/record"
)

const (
	// blockThreshold is the number of engine crashes under a request at which the
	// request is blocked. Two suffice, as an engine runs one suspect at a time.
	blockThreshold = 2
	// plainThreshold is the same for calls to plain services, which run beside others.
	plainThreshold = 3
	// maxSuspects bounds the number of requests whose crashes are remembered.
	maxSuspects = 10_000
)

// pendingRecord is a record about a crash that was appended to the log and not read back
// yet.
type pendingRecord struct {
	fingerprint crash.Fingerprint
	data        []byte
	appendedAt  time.Time
}

// crash handles the crash of an engine, once for each incarnation of the engine. If
// requests that were running at an earlier crash ran on the engine, it is held against
// these only, and otherwise against all requests that ran there.
func (n *Node) crash(now time.Time, o *ownedEngine) []Action {
	if o.crashedBoot == o.boot {
		return nil
	}
	o.crashedBoot = o.boot
	var running, suspects []call
	for _, id := range slices.Sorted(maps.Keys(n.calls)) {
		c := n.calls[id]
		if c.engine != o.name || !c.running || c.boot != o.boot {
			continue
		}
		running = append(running, c)
		if c.suspect {
			suspects = append(suspects, c)
		}
	}
	detected := CrashDetected{Engine: o.name, Running: len(running), Suspects: len(suspects)}
	if len(suspects) > 0 {
		running = suspects
	}
	var actions []Action
	for _, c := range running {
		actions = append(actions, n.recordCrash(now, c)...)
		if now.Before(n.crashes.BlockedUntil(c.fingerprint)) {
			detected.Blocked = append(detected.Blocked, c.fingerprint)
		}
	}
	actions = append(actions, detected)
	return append(actions, n.engineUnreachable(now, EngineUnreachable{Engine: o.name})...)
}

// recordCrash records a crash against a call that was running, and appends a record by
// which the other VMs learn of it.
func (n *Node) recordCrash(now time.Time, c call) []Action {
	if c.suspect && len(n.crashes.Runs(c.fingerprint)) == 0 {
		// The VM that sent the call knows of an earlier crash, whose record this VM has
		// not read yet.
		n.addRun(now, c.fingerprint, crash.Run{Sent: c.startedAt, Ended: c.startedAt, Alone: true})
	}
	run := n.addRun(now, c.fingerprint, crash.Run{Upstream: c.engine, Sent: c.startedAt, Ended: now, Alone: true})
	return n.appendRun(now, c.fingerprint, run)
}

// plainCrashed handles the crash of an upstream of a plain service under a call.
func (n *Node) plainCrashed(now time.Time, e PlainCrashed) []Action {
	run := n.addRun(now, e.Fingerprint, crash.Run{Upstream: e.Upstream, Sent: e.Sent, Ended: now})
	return n.appendRun(now, e.Fingerprint, run)
}

// appendRun appends a record of a run during which an upstream crashed.
func (n *Node) appendRun(now time.Time, f crash.Fingerprint, run crash.Run) []Action {
	data, err := record.Encode(crash.KindCrashed, crash.RunRecord{Fingerprint: f, Run: run.Save()})
	if err != nil {
		return recordsIgnored(crash.Stream, err)
	}
	n.unreadCrashes[run.ID] = pendingRecord{fingerprint: f, data: data, appendedAt: now}
	return []Action{Append{Stream: crash.Stream, Data: data}}
}

func (n *Node) addRun(now time.Time, f crash.Fingerprint, run crash.Run) crash.Run {
	n.crashRuns++
	run.ID = crash.RunID(n.config.Self.Name, n.config.Self.Boot, n.crashRuns)
	n.viewStale = n.crashes.Record(now, f, run) || n.viewStale
	return run
}

// clearCrashes forgets the crashes under a request that has run to its end: it was not
// the cause.
func (n *Node) clearCrashes(f crash.Fingerprint) []Action {
	if len(n.crashes.Runs(f)) == 0 {
		return nil
	}
	n.crashes.Clear(f)
	n.viewStale = true
	data, err := record.Encode(crash.KindCleared, crash.ClearRecord{Fingerprint: f})
	if err != nil {
		return recordsIgnored(crash.Stream, err)
	}
	return []Action{Append{Stream: crash.Stream, Data: data}}
}

// tickCrashes forgets old crashes. If the log can be read, it appends records again
// that were lost.
func (n *Node) tickCrashes(now time.Time) []Action {
	n.crashes.Expire(now)
	if n.failed[crash.Stream] {
		return nil
	}
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(n.unreadCrashes)) {
		p := n.unreadCrashes[id]
		if len(n.crashes.Runs(p.fingerprint)) == 0 {
			delete(n.unreadCrashes, id)
			continue
		}
		if now.Sub(p.appendedAt) < n.config.Timing.Reappend {
			continue
		}
		p.appendedAt = now
		n.unreadCrashes[id] = p
		actions = append(actions, Append{Stream: crash.Stream, Data: p.data})
	}
	return actions
}

func (n *Node) readCrashes(now time.Time, records []record.Record) []Action {
	n.viewStale = n.viewStale || len(records) > 0
	var actions []Action
	for _, r := range records {
		run, err := n.crashes.Apply(now, r)
		if err != nil {
			actions = append(actions, recordsIgnored(crash.Stream, err)...)
		}
		delete(n.unreadCrashes, run)
	}
	return actions
}
