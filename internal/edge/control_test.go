package edge

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/pkg/cursor"
	"github.com/tanagerlb/tanagerlb/pkg/gossip"
	"github.com/tanagerlb/tanagerlb/platform"
)

var (
	start = time.Unix(1_000_000, 0)
	peer  = netip.MustParseAddrPort("127.0.0.1:1") // address of a VM that refuses connections
)

// Guards against a VM that misses a new configuration for up to 20 s: the response
// to a long read can be lost while its connection stays open. The offsets in
// peers' probes show that there is more to read.
func TestReadsAgainWhenPeersAreAhead(t *testing.T) {
	is := is.New(t)
	tell := func(c *control, now time.Time, offset int64) {
		c.noteAhead(now, peer, cursor.Position{Offset: offset})
		c.checkBehind(t.Context(), now)
	}
	count := 0
	c := &control{fetching: map[platform.Topic]bool{}, recent: newRecent(), logger: zap.NewNop(), events: make(chan event, 10), peers: newPeerClient(), operatorOffset: 5, feeds: map[platform.Topic]*feed{platform.OperatorTopic: {interruptible: true, cancel: func() { count++ }}}}
	tell(c, start, 5)
	tell(c, start.Add(time.Second), 6)
	is.Equal(count, 0) // the records may still arrive
	tell(c, start.Add(1100*time.Millisecond), 6)
	is.Equal(count, 0)
	c.applyFetched(t.Context(), start.Add(1200*time.Millisecond), (<-c.events).(recordsFetched)) // the peer did not answer
	tell(c, start.Add(1400*time.Millisecond), 6)
	is.Equal(count, 1)
	c.applyFetched(t.Context(), start.Add(1400*time.Millisecond), (<-c.events).(recordsFetched))
	c.operatorOffset = 6
	tell(c, start.Add(3*time.Second), 6)
	tell(c, start.Add(4*time.Second), 6)
	is.Equal(count, 1)
}

// Guards against a VM that never reads what it lacks, since peers that are as far behind as it
// tell it that nothing is missing.
func TestPeersThatAreBehindDoNotHideThatOthersAreAhead(t *testing.T) {
	is := is.New(t)
	count := 0
	c := &control{fetching: map[platform.Topic]bool{}, recent: newRecent(), logger: zap.NewNop(), events: make(chan event, 10), peers: newPeerClient(), operatorOffset: 5, feeds: map[platform.Topic]*feed{platform.OperatorTopic: {interruptible: true, cancel: func() { count++ }}}}
	for i := range 20 {
		now := start.Add(time.Duration(i) * 30 * time.Millisecond)
		offset := int64(5)
		if i%5 == 0 {
			offset = 6
		}
		c.noteAhead(now, peer, cursor.Position{Offset: offset})
		c.checkBehind(t.Context(), now)
		if c.fetching[platform.OperatorTopic] {
			c.applyFetched(t.Context(), now, (<-c.events).(recordsFetched)) // the peer does not answer
		}
	}
	is.Equal(count, 1)
}

// A VM whose listing of a new era is under way has no offset to tell.
func TestPositionIsOfTheEraThatWasListed(t *testing.T) {
	is := is.New(t)
	c := &control{fetching: map[platform.Topic]bool{}, recent: newRecent(), logger: zap.NewNop(), operatorOffset: 50, storeEra: storeEra{newest: 1, topics: map[platform.Topic]int64{platform.OperatorTopic: 1}}}
	is.Equal(c.operatorPosition(), cursor.Position{Era: 1, Offset: 50})
	c.storeEra.newest = 2
	is.Equal(c.operatorPosition(), cursor.Position{Era: 2})
	c.noteAhead(start, peer, cursor.Position{Era: 2, Offset: 45})
	is.Equal(c.behind.told[0].position, cursor.Position{Era: 2, Offset: 45})
}

// Guards against equal slot request IDs of two VMs that start within the same
// millisecond: one VM received the slot and the adapter version that were granted
// to the other.
func TestSlotRequestIDsNameTheVM(t *testing.T) {
	is := is.New(t)
	ids := map[string]bool{}
	for _, name := range []string{"a", "b"} {
		d := newDispatcher(gossip.VM{Name: name, Boot: 7}, nil, nil, zap.NewNop())
		for range 3 {
			id := d.newID()
			is.True(!ids[id])
			ids[id] = true
		}
	}
}

func TestForwardedRecordsMustContinueWhatWasRead(t *testing.T) {
	for _, c := range []struct {
		name                  string
		next, from, forwarded int64
		taken                 bool
	}{
		{"continue", 10, 10, 15, true},
		{"overlap", 10, 8, 12, true},
		{"nothing new", 10, 10, 10, true},
		{"a gap", 10, 11, 15, false},
		{"older", 10, 5, 9, false},
		{"not listed yet", -1, 0, 5, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := &feed{next: c.next}
			is.Equal(f.skipTo(start, 0, c.from, c.forwarded), c.taken)
			want := c.next
			if c.taken {
				want = c.forwarded
			}
			is.Equal(f.offset(), want)
		})
	}
}

func TestOwnReadNeverFallsBehindForwardedRecords(t *testing.T) {
	is := is.New(t)
	f := &feed{next: 10}
	is.True(f.skipTo(start, 0, 10, 20))
	f.advance(0, 15) // the response to a read in progress
	is.Equal(f.offset(), int64(20))
	f.list() // records were trimmed
	is.Equal(f.offset(), int64(-1))
}

// Guards against a start of many VMs in which each takes all of its processor time to publish
// its state anew for each VM that it hears of (the bench's sweep at 300 VMs).
func TestChangesInALargeFleetAreReconciledTogether(t *testing.T) {
	for _, c := range []struct{ vms, engines, most int }{
		{9, 12, 9},      // at once
		{300, 3000, 10}, // in a second
		{960, 3000, 10},
	} {
		t.Run(fmt.Sprintf("%d VMs", c.vms), func(t *testing.T) {
			is := is.New(t)
			vm := newFleetControl(2, c.engines)
			published := 0
			last := vm.view.Load()
			note := func() {
				if v := vm.view.Load(); v != last {
					last = v
					published++
				}
			}
			for i := range c.vms {
				now := start.Add(time.Duration(i) * time.Second / time.Duration(c.vms))
				vm.gossip.Apply(now, gossip.Update{VM: gossip.VM{Name: fmt.Sprintf("new%d", i), Boot: 1}, Status: gossip.Alive})
				vm.reconcileSoon(now)
				note()
				vm.reconcileCollected(now)
				note()
			}
			is.True(published >= 1 && published <= c.most)
			vm.reconcileCollected(start.Add(2 * time.Second))
			is.Equal(len(vm.directory.Load().vms), c.vms+2) // none is lost
		})
	}
}
