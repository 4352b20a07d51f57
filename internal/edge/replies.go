package edge

import "sync"

// maxReplies is the number of unread replies to one request. Others are repeated ones, as the
// request was sent again.
const maxReplies = 16

// replies passes the replies to requests that were sent as datagrams on to who waits for them.
// The zero value is ready for use.
type replies[ID comparable, Reply any] struct {
	mu      sync.Mutex
	pending map[ID]chan Reply
}

// expect returns the replies to a request. done ends the wait for them.
func (r *replies[ID, Reply]) expect(id ID) (list <-chan Reply, done func()) {
	c := make(chan Reply, maxReplies)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending == nil {
		r.pending = map[ID]chan Reply{}
	}
	r.pending[id] = c
	return c, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.pending, id)
	}
}

// pass passes on a reply to a request, if someone waits for it.
func (r *replies[ID, Reply]) pass(id ID, reply Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case r.pending[id] <- reply:
	default: // a repeated reply, or nobody waits any more
	}
}
