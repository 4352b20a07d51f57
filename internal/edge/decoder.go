package edge

import (
	"sync"
	"time"

	"github.com/tanagerlb/tanagerlb/platform"
)

// changeDecoded carries what a record of the operator topic holds, or the error.
type changeDecoded struct {
	record      platform.Record
	number      int64 // of decoding.add; 0 for a small record
	change      platform.Change
	err         error
	publishedAt time.Time // time at which an adapter version is taken to have been published
}

func (changeDecoded) event() {}

// decoder decodes large records of the operator topic one after the other, so that the control
// loop goes on meanwhile, and peers can be lent them. A record that a later one with its key
// replaces before its turn is skipped.
type decoder struct {
	post    func(event)
	mu      sync.Mutex
	pending map[string]changeDecoded // by key
	running bool
}

func newDecoder(post func(event)) *decoder {
	return &decoder{post: post, pending: map[string]changeDecoded{}}
}

// add decodes a record with the number of decoding.add and posts the result.
func (d *decoder) add(publishedAt time.Time, number int64, r platform.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending[r.Key] = changeDecoded{record: r, number: number, publishedAt: publishedAt}
	if !d.running {
		d.running = true
		go d.run()
	}
}

// take returns a record that waits, and false if there is none.
func (d *decoder) take() (changeDecoded, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for key, e := range d.pending {
		delete(d.pending, key)
		return e, true
	}
	d.running = false
	return changeDecoded{}, false
}

func (d *decoder) run() {
	for {
		e, ok := d.take()
		if !ok {
			return
		}
		e.change, e.err = platform.DecodeChange(e.record)
		d.post(e)
	}
}
