package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/internal/metric"
	"github.com/tanagerlb/tanagerlb/platform"
)

// Guards against a VM that starts while the store is down and never learns of the upstreams,
// because it has got the configuration from a peer and takes that for the whole state.
func TestStateOfAPeerCompletesWhatWasCaughtUp(t *testing.T) {
	is := is.New(t)
	vms, store := storeVMs(t, "a", "b")
	seed, started, now := vms[0], vms[1], time.Now()
	store.Put(string(platform.OperatorTopic), "config", largeConfig(1, 3))
	putUpstream(store, "u1", false, 1)
	reply := make(chan state, 1)
	seed.replyState(now, reply)
	is.Equal(len((<-reply).Topics), 0) // it has listed nothing
	for topic := range seed.feeds {
		seed.list(t, now, topic)
	}
	listed, err := seed.store.Newest(t.Context(), platform.OperatorTopic)
	is.NoErr(err)
	started.lender, started.metrics = newLender(started.post, zap.NewNop()), metric.New()
	started.applyFetched(t.Context(), now, recordsFetched{topic: platform.OperatorTopic, records: forwardedRecords{Topic: platform.OperatorTopic, From: -1, Next: listed.Next, Records: listed.Records}})
	is.True(started.table != nil)
	is.True(!started.knowsTopics())
	seed.replyState(now, reply)
	started.applyState(now, <-reply)
	is.Equal(started.roster.IDs(), []string{"u1"})
	is.True(started.knowsTopic(platform.UpstreamsTopic))
}

// Guards against a VM that starts while the store is away, gets the state of a peer, and then
// ignores the entries that upstreams write: the store has come back from a copy, and gives out the
// offsets again that the peer has read (soak seed 51031).
func TestEntriesAfterTheStateOfAPeerAndARestore(t *testing.T) {
	is := is.New(t)
	vms, store := storeVMs(t, "a", "b")
	seed, started, now := vms[0], vms[1], time.Now()
	putUpstream(store, "old", false, 1)
	copied := time.Now()
	time.Sleep(time.Millisecond)
	for range 5 { // heartbeats
		putUpstream(store, "u", false, 1)
	}
	for topic := range seed.feeds {
		seed.list(t, now, topic)
	}
	reply := make(chan state, 1)
	seed.replyState(now, reply)
	started.applyState(now, <-reply)
	is.Equal(serving(started), []string{"old", "u"})
	store.Restore(copied)
	now = now.Add(time.Second)
	for topic := range started.feeds {
		started.list(t, now, topic)
	}
	putUpstream(store, "u", false, 1)
	started.read(t, now, platform.UpstreamsTopic, 1)
	now = now.Add(2 * reregisterGrace)
	started.reconcile(now)
	is.Equal(serving(started), []string{"old", "u"})
}
