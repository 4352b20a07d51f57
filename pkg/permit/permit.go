// Package permit provides admission control for the loading of adapters from a
// weight store. Each load needs a permit. The permits come from a Granter, which
// limits the rate of loads and the number of loads in progress.
package permit

import (
	"slices"
	"time"
)

// ID identifies a permit request, and the permit once it is granted.
type ID struct {
	VM   string
	Name string // unique within the VM; package node uses the engine's name
}

// Request asks for a permit to load one adapter.
type Request struct {
	ID
	Weight float64 // priority of the load; the request with the highest weight is granted first
}

// Config holds the limits that a Granter enforces and the lifetimes of permits
// and requests.
type Config struct {
	Rate       float64       // maximum loads per second
	MaxActive  int           // maximum loads in progress
	PermitTTL  time.Duration // time after which a permit expires if it is not released
	RequestTTL time.Duration // time after which a request expires if it is not repeated
}

// Granter decides which loads may start. It is not safe for concurrent use.
type Granter struct {
	config    Config
	notBefore time.Time // earliest time of the first grant
	nextGrant time.Time // earliest time of the next grant
	closed    bool
	held      map[ID]time.Time // expiry times of the permits that are granted and not released
	requests  map[ID]pendingRequest
}

// pendingRequest is a permit request with its expiry time.
type pendingRequest struct {
	Request
	expires time.Time
}

// New returns a granter that grants nothing before notBefore, the time by which
// all permits of the previous granter have ended.
func New(c Config, notBefore time.Time) *Granter {
	return &Granter{config: c, notBefore: notBefore, held: map[ID]time.Time{}, requests: map[ID]pendingRequest{}}
}

// Request adds or repeats a permit request. It returns the permits that are granted
// now, which may belong to this request or to others.
func (g *Granter) Request(now time.Time, r Request) []ID {
	if _, held := g.held[r.ID]; held {
		return append(g.Next(now), r.ID) // a repeated request shows that the grant did not arrive, so the grant is returned again
	}
	g.requests[r.ID] = pendingRequest{Request: r, expires: now.Add(g.config.RequestTTL)}
	return g.Next(now)
}

// Release releases a permit or cancels a request. It returns the permits that are
// granted now to other requests.
func (g *Granter) Release(now time.Time, id ID) []ID {
	delete(g.held, id)
	delete(g.requests, id)
	return g.Next(now)
}

// Next grants as many waiting requests as the limits allow now, in descending order
// of weight, and returns their permits.
func (g *Granter) Next(now time.Time) []ID {
	g.expire(now)
	var granted []ID
	for !g.closed && len(g.requests) > 0 && len(g.held) < g.config.MaxActive && !now.Before(g.nextGrant) && !now.Before(g.notBefore) {
		id := g.highest()
		delete(g.requests, id)
		g.held[id] = now.Add(g.config.PermitTTL)
		g.nextGrant = now.Add(time.Duration(float64(time.Second) / g.config.Rate))
		granted = append(granted, id)
	}
	return granted
}

// Close stops the granter from granting permits. It reports whether all granted
// permits have been released or have expired.
func (g *Granter) Close(now time.Time) bool {
	g.closed = true
	g.expire(now)
	return len(g.held) == 0
}

func (g *Granter) expire(now time.Time) {
	for id, expires := range g.held {
		if !now.Before(expires) {
			delete(g.held, id)
		}
	}
	for id, r := range g.requests {
		if !now.Before(r.expires) {
			delete(g.requests, id)
		}
	}
}

func (g *Granter) highest() ID {
	pending := make([]pendingRequest, 0, len(g.requests))
	for _, r := range g.requests {
		pending = append(pending, r)
	}
	best := slices.MinFunc(pending, compareRequests)
	return best.ID
}

func compareRequests(a, b pendingRequest) int {
	switch {
	case a.Weight > b.Weight:
		return -1
	case a.Weight < b.Weight:
		return 1
	case a.VM < b.VM || (a.VM == b.VM && a.Name < b.Name):
		return -1
	default:
		return 1
	}
}
