package node

import (
	"maps"
	"slices"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/claim"
	"github.com/tanagerlb/tanagerlb/pkg/crash"
	"github.com/tanagerlb/tanagerlb/pkg/docs"
	"github.com/tanagerlb/tanagerlb/pkg/keys"
	"github.com/tanagerlb/tanagerlb/pkg/member"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
	"github.com/tanagerlb/tanagerlb/pkg/record"
)

// follow starts and stops reading log streams. This VM reads the streams of
// documents, claims and crashes. Of the key partitions, it reads the streams of those
// that it keeps and those that calls on this VM wait for.
func (n *Node) follow(now time.Time) []Action {
	var actions []Action
	want := map[string]bool{docs.StreamName: true, claim.Stream: true, crash.Stream: true}
	candidates := n.eligibleVMs(now)
	for p := range n.config.Keys.Partitions {
		stream := keys.StreamName(p)
		if n.preferredOwner(stream, candidates) == n.config.Self.Name || n.keys.HasWaiting(p) {
			want[stream] = true
		}
	}
	for _, stream := range slices.Sorted(maps.Keys(want)) {
		if !n.followed[stream] {
			n.followed[stream] = true
			actions = append(actions, Follow{Stream: stream})
		}
	}
	for _, stream := range slices.Sorted(maps.Keys(n.followed)) {
		if want[stream] {
			continue
		}
		delete(n.followed, stream)
		if p, ok := keys.ParseStream(stream); ok {
			n.keys.ForgetPartition(p)
		}
		actions = append(actions, Unfollow{Stream: stream})
	}
	return actions
}

func names(vms []member.VM) []string {
	names := make([]string, len(vms))
	for i, vm := range vms {
		names[i] = vm.Name
	}
	return names
}

func (n *Node) logRead(now time.Time, e LogRead) []Action {
	if !n.followed[e.Stream] {
		return nil
	}
	if n.failed[e.Stream] {
		n.failed[e.Stream] = false
		n.viewStale = true
	}
	atTail := e.Batch.Next >= e.Batch.Tail
	actions := n.read(now, e, atTail)
	if atTail && !n.caughtUp[e.Stream] {
		n.caughtUp[e.Stream] = true
		n.viewStale = true
	}
	return actions
}

func (n *Node) read(now time.Time, e LogRead, atTail bool) []Action {
	switch e.Stream {
	case docs.StreamName:
		return n.readDocuments(e.Batch.Records)
	case claim.Stream:
		actions := n.readClaims(now, e.Batch.Records)
		if atTail {
			n.lease.Confirm(e.Sent)
		}
		return actions
	case crash.Stream:
		return n.readCrashes(now, e.Batch.Records)
	default:
		p, _ := keys.ParseStream(e.Stream)
		decided, errs := n.keys.ApplyRecords(now, p, e.Batch.Records, atTail)
		return append(n.keyActions(decided), recordsIgnored(e.Stream, errs...)...)
	}
}

func recordsIgnored(stream string, errs ...error) []Action {
	var actions []Action
	for _, err := range errs {
		actions = append(actions, RecordIgnored{Stream: stream, Err: err})
	}
	return actions
}

func (n *Node) readDocuments(records []record.Record) []Action {
	var actions []Action
	for _, r := range records {
		verdict, err := n.documents.Apply(r)
		if err != nil {
			actions = append(actions, recordsIgnored(docs.StreamName, err)...)
		}
		if verdict.Service != "" {
			actions = append(actions, ProposalDecided{Verdict: verdict})
		}
	}
	if len(records) > 0 {
		n.viewStale = true
		n.indexEngines()
	}
	return actions
}

func (n *Node) logFailed(e LogFailed) []Action {
	if !n.followed[e.Stream] {
		return nil
	}
	if !n.failed[e.Stream] {
		n.failed[e.Stream] = true
		n.viewStale = true
	}
	if p, ok := keys.ParseStream(e.Stream); ok {
		return n.keyActions(n.keys.StreamDown(p))
	}
	return nil
}

// readable reports whether the last access to a stream succeeded. It also returns
// true before the first access.
func (n *Node) readable(stream string) bool { return !n.failed[stream] }

// keyActions converts the actions of the key table into actions of the node.
func (n *Node) keyActions(decided []keys.Action) []Action {
	var actions []Action
	for _, d := range decided {
		switch d := d.(type) {
		case keys.Append:
			actions = append(actions, Append{Stream: keys.StreamName(d.Partition), Data: d.Data})
		case keys.Run:
			actions = append(actions, RunKeyed{Call: d.Call})
		case keys.Answer:
			actions = append(actions, Answer{Answer: d})
		}
	}
	return actions
}

// reappend appends the documents and claims in force again, before the log
// deletes their records at the end of the retention time. Each document or claim is
// appended by one VM only, the first live one in rendezvous order. The prefix
// "restate " of the hashed names must stay: VMs of different releases must agree on
// which VM that is.
func (n *Node) reappend(now time.Time) []Action {
	if now.Sub(n.lastReappend[""]) < n.config.Timing.LogRetention/reappendsPerRetention || !n.readable(docs.StreamName) {
		return nil
	}
	if n.lastReappend[""].IsZero() {
		n.lastReappend[""] = now
		return nil
	}
	n.lastReappend[""] = now
	var actions []Action
	live := names(n.members.Live(now))
	for service, revision := range n.documents.Revisions() {
		if rank.First("restate "+service, live) != n.config.Self.Name {
			continue
		}
		if data, err := revision.RepublishRecord(); err == nil {
			actions = append(actions, Append{Stream: docs.StreamName, Data: data})
		}
	}
	actions = append(actions, n.reappendClaims(live)...)
	slices.SortFunc(actions, compareAppends)
	return actions
}

// reappendsPerRetention is the number of times that a record in force is appended
// again within Timing.LogRetention.
const reappendsPerRetention = 4

func compareAppends(a, b Action) int {
	x, y := a.(Append), b.(Append) //nolint:forcetypeassert // callers pass only Append actions
	if x.Stream != y.Stream {
		if x.Stream < y.Stream {
			return -1
		}
		return 1
	}
	return slices.Compare(x.Data, y.Data)
}

func (n *Node) reappendClaims(live []string) []Action {
	var actions []Action
	for _, name := range n.claims.Names() {
		if rank.First("restate "+name, live) != n.config.Self.Name {
			continue
		}
		ownership, _ := n.claims.Lookup(name)
		c := ownership.Claim
		c.FencingToken = ownership.FencingToken
		if data, err := record.Encode(claim.Kind, c); err == nil {
			actions = append(actions, Append{Stream: claim.Stream, Data: data})
		}
	}
	return actions
}
