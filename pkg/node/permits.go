package node

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/member"
	"github.com/tanagerlb/tanagerlb/pkg/permit"
)

const (
	permitRequestTTL = 2 * time.Second        // time after which the granter drops a permit request that is not repeated
	permitRetry      = 700 * time.Millisecond // interval at which a permit request is repeated until it is granted
	weightInterval   = 100 * time.Millisecond // minimum time before a permit request is sent again with a new weight
)

// permitRequest is a request for a permit to load an adapter on an engine of this VM.
// It stays after the grant, until the permit is released.
type permitRequest struct {
	engine  string
	request permit.Request
	sentAt  time.Time // when the request was last sent
	updated bool      // the weight was updated after sentAt
	granted bool
}

func (n *Node) permitID(engine string) permit.ID {
	return permit.ID{VM: n.config.Self.Name, Name: engine}
}

// requestPermit records the permit request of an engine's scheduler, or a new weight
// of a recorded one. tickPermits sends the request to the granter.
func (n *Node) requestPermit(engine string, weight float64) {
	id := n.permitID(engine)
	r, ok := n.permitRequests[id]
	if !ok {
		r = &permitRequest{engine: engine, request: permit.Request{ID: id}}
		n.permitRequests[id] = r
	}
	r.request.Weight, r.updated = weight, true
}

// releasePermit drops an engine's permit or permit request, and queues the release
// that tickPermits sends to the granter.
func (n *Node) releasePermit(engine string) {
	id := n.permitID(engine)
	if _, ok := n.permitRequests[id]; ok {
		delete(n.permitRequests, id)
		n.permitReleases = append(n.permitReleases, id)
	}
}

// sortedPermitRequests returns the permit requests, sorted by engine.
func (n *Node) sortedPermitRequests() []*permitRequest {
	return slices.SortedFunc(maps.Values(n.permitRequests), func(a, b *permitRequest) int {
		return strings.Compare(a.engine, b.engine)
	})
}

// granterVM returns the VM that holds the role of granter. It returns false if no
// known VM holds it (see ownerOf).
func (n *Node) granterVM() (member.VM, bool) {
	return n.ownerOf(GranterName)
}

// tickPermits sends permit requests and permit releases to the granter. If this
// VM is the granter, it also grants the permits that are due.
func (n *Node) tickPermits(now time.Time) []Action {
	granter, ok := n.granterVM()
	if !ok {
		return nil
	}
	local := granter.Name == n.config.Self.Name
	var actions []Action
	for _, id := range n.permitReleases {
		if local {
			actions = append(actions, n.permitReleased(now, PermitReleased{ID: id})...)
			continue
		}
		actions = append(actions, ReleasePermit{Granter: granter, ID: id})
	}
	n.permitReleases = nil
	for _, r := range n.sortedPermitRequests() {
		if r.granted || !r.due(now) {
			continue
		}
		r.sentAt, r.updated = now, false
		if local {
			actions = append(actions, n.permitRequested(now, PermitRequested{Request: r.request})...)
			continue
		}
		actions = append(actions, RequestPermit{Granter: granter, Request: r.request})
	}
	if local && n.granter != nil && n.mayAct(now) {
		actions = append(actions, n.granted(now, n.granter.Next(now))...)
	}
	return actions
}

// due reports whether permitRetry has passed since the permit request was last sent,
// or weightInterval if its weight was updated.
func (r *permitRequest) due(now time.Time) bool {
	since := now.Sub(r.sentAt)
	return since >= permitRetry || (r.updated && since >= weightInterval)
}

func (n *Node) permitRequested(now time.Time, e PermitRequested) []Action {
	if n.granter == nil || !n.mayAct(now) {
		return nil
	}
	return n.granted(now, n.granter.Request(now, e.Request))
}

func (n *Node) permitReleased(now time.Time, e PermitReleased) []Action {
	if n.granter == nil || !n.mayAct(now) {
		return nil
	}
	return n.granted(now, n.granter.Release(now, e.ID))
}

// granted passes the permits that this VM granted on to the VMs that requested them.
func (n *Node) granted(now time.Time, ids []permit.ID) []Action {
	var actions []Action
	for _, id := range ids {
		if id.VM != n.config.Self.Name {
			actions = append(actions, GrantPermit{ID: id})
			continue
		}
		actions = append(actions, n.applyGrant(now, id)...)
	}
	return actions
}

func (n *Node) applyGrant(now time.Time, id permit.ID) []Action {
	r, ok := n.permitRequests[id]
	if !ok {
		n.permitReleases = append(n.permitReleases, id)
		return nil
	}
	r.granted = true
	o, ok := n.engines[r.engine]
	if !ok || n.refusalReason(now, o) != "" {
		n.releasePermit(r.engine)
		return nil
	}
	o.sched.GrantPermit()
	return n.advance(now, o)
}
