package bench

import (
	"container/heap"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

// offline returns the number of loads and the mean load stall of an ideal policy, as
// lower bounds for policies that load an adapter only when a request needs it. The
// ideal policy knows the whole trace, has all slots on one engine, and evicts the
// adapter whose next use is the latest (Belady's algorithm). Each load starts at once,
// and requests that arrive during the load wait only until the load ends.
func offline(w workload, trace []request) (loads int, mean time.Duration) {
	next := nextUse(trace)
	readyAt := map[spec.Adapter]time.Time{}
	uses := &useHeap{}
	nextByAdapter := map[spec.Adapter]int{}
	var stall time.Duration
	requests := 0
	for i, r := range trace {
		counted := !r.Arrived.Before(epoch.Add(w.warmup))
		at, resident := readyAt[r.Adapter]
		if !resident {
			if len(readyAt) >= w.slots*w.engines {
				evict(uses, nextByAdapter, readyAt)
			}
			at = r.Arrived.Add(w.loadTime)
			readyAt[r.Adapter] = at
			if counted {
				loads++
			}
		}
		if counted {
			requests++
			stall += max(at.Sub(r.Arrived), 0)
		}
		nextByAdapter[r.Adapter] = next[i]
		heap.Push(uses, use{adapter: r.Adapter, next: next[i]})
	}
	return loads, stall / time.Duration(max(requests, 1))
}

// nextUse returns, for each request, the index of the next request for the same
// adapter, or len(trace) if there is none.
func nextUse(trace []request) []int {
	next := make([]int, len(trace))
	seen := map[spec.Adapter]int{}
	for i := len(trace) - 1; i >= 0; i-- {
		next[i] = len(trace)
		if at, ok := seen[trace[i].Adapter]; ok {
			next[i] = at
		}
		seen[trace[i].Adapter] = i
	}
	return next
}

// evict evicts the resident adapter whose next use is the latest. nextByAdapter holds
// the index of the next request for each adapter. A heap entry with a different index
// is outdated and is dropped.
func evict(uses *useHeap, nextByAdapter map[spec.Adapter]int, readyAt map[spec.Adapter]time.Time) {
	for uses.Len() > 0 {
		u := heap.Pop(uses).(use)
		if _, resident := readyAt[u.adapter]; resident && nextByAdapter[u.adapter] == u.next {
			delete(readyAt, u.adapter)
			return
		}
	}
}

// use stands for one request's use of an adapter.
type use struct {
	adapter spec.Adapter
	next    int // index of the next request for the adapter after this one
}

// useHeap is a max-heap of uses, ordered by the index of the next request.
type useHeap []use

func (h useHeap) Len() int           { return len(h) }
func (h useHeap) Less(i, j int) bool { return h[i].next > h[j].next }
func (h useHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *useHeap) Push(x any)        { *h = append(*h, x.(use)) }
func (h *useHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
