package bench

import (
	"container/heap"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

// offline returns a lower bound on the loads and on the mean load stall of any
// policy: all slots in one place, the adapter evicted that is needed again
// last (Belady), no load ever waits, and requests that come during a load wait
// for the rest of it.
func offline(w workload, trace []request) (loads int, mean time.Duration) {
	next := nextUse(trace)
	ready := map[spec.Adapter]time.Time{}
	uses := &useHeap{}
	latest := map[spec.Adapter]int{}
	var stall time.Duration
	requests := 0
	for i, r := range trace {
		counted := !r.Arrived.Before(epoch.Add(w.warm))
		at, held := ready[r.Adapter]
		if !held {
			if len(ready) >= w.slots*w.engines {
				evict(uses, latest, ready)
			}
			at = r.Arrived.Add(w.load)
			ready[r.Adapter] = at
			if counted {
				loads++
			}
		}
		if counted {
			requests++
			stall += max(at.Sub(r.Arrived), 0)
		}
		latest[r.Adapter] = next[i]
		heap.Push(uses, use{adapter: r.Adapter, next: next[i]})
	}
	return loads, stall / time.Duration(max(requests, 1))
}

// nextUse returns, for each request, the index of the next one for its adapter.
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

func evict(uses *useHeap, latest map[spec.Adapter]int, ready map[spec.Adapter]time.Time) {
	for uses.Len() > 0 {
		u := heap.Pop(uses).(use)
		if _, held := ready[u.adapter]; held && latest[u.adapter] == u.next {
			delete(ready, u.adapter)
			return
		}
	}
}

type use struct {
	adapter spec.Adapter
	next    int
}

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
