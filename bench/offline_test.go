package bench

import (
	"container/heap"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/spec"
)

// offline returns a lower bound on the loads and on the mean load stall of any
// policy. It knows the whole trace, and assumes that all slots are on one engine,
// that the adapter whose next use is the latest is evicted (Belady's algorithm),
// that each load starts at once, and that requests that arrive during a load wait
// only for its end.
func offline(w workload, trace []request) (loads int, mean time.Duration) {
	next := nextUse(trace)
	readyAt := map[spec.Adapter]time.Time{}
	uses := &useHeap{}
	latest := map[spec.Adapter]int{}
	var stall time.Duration
	requests := 0
	for i, r := range trace {
		counted := !r.Arrived.Before(epoch.Add(w.warmup))
		at, resident := readyAt[r.Adapter]
		if !resident {
			if len(readyAt) >= w.slots*w.engines {
				evict(uses, latest, readyAt)
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

// evict evicts the adapter whose next use is the latest.
func evict(uses *useHeap, latest map[spec.Adapter]int, readyAt map[spec.Adapter]time.Time) {
	for uses.Len() > 0 {
		u := heap.Pop(uses).(use)
		if _, resident := readyAt[u.adapter]; resident && latest[u.adapter] == u.next {
			delete(readyAt, u.adapter)
			return
		}
	}
}

// use is the use of an adapter by a request.
type use struct {
	adapter spec.Adapter
	next    int // index of the next request for the adapter
}

// useHeap is a heap of uses, the one with the latest next use first.
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
