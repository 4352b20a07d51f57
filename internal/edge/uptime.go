package edge

import (
	"slices"
	"time"

	"github.com/tanagerlb/tanagerlb/platform"
)

// storeUptime is what the peers say of the store while this VM can't read it, and after
// that: an outage may be of this VM's path only.
type storeUptime struct {
	downSince time.Time // begin of the outage
	since     time.Time // earliest time from which on a peer has read without a failure; zero for none
	readAt    time.Time // time of the last read of a peer
}

const (
	// uptimeAge is how long ago a peer may have read the store for it to count as up.
	uptimeAge = 3 * time.Second
	// readInterval is longer than the time between two reads of a peer that reads itself:
	// a shorter outage may have escaped it.
	readInterval = 2 * time.Second
	// lapseBeats is the number of heartbeats in which an outage makes no entry lapse: upstreams write
	// one each, and their entries outlast three.
	lapseBeats = 2
)

// note records that a peer has read the store for a time without a failure, and when it
// read last. An uptime of 0 tells that its last read failed. downSince is the begin of this
// VM's last outage; what was read before it is of no use.
func (u *storeUptime) note(now, downSince time.Time, uptime, age time.Duration) {
	if !downSince.Equal(u.downSince) {
		*u = storeUptime{downSince: downSince}
	}
	since, readAt := now.Add(-uptime), now.Add(-age)
	if uptime <= 0 || !readAt.After(downSince) {
		return
	}
	if u.since.IsZero() || since.Before(u.since) {
		u.since = since
	}
	if readAt.After(u.readAt) {
		u.readAt = readAt
	}
}

// returned returns the time from which on the store has answered the VMs, or false if the
// peers don't tell.
func (u *storeUptime) returned() (time.Time, bool) {
	known := !u.since.IsZero() && (u.since.After(u.downSince) || u.readAt.Sub(u.downSince) > readInterval)
	return u.since, known
}

// ownUptime returns for how long this VM has read the store without a failure, 0 if the
// last read of a topic failed, and the time since its last read.
func (c *control) ownUptime(now time.Time) (uptime, age time.Duration) {
	since, readAt := c.started, time.Time{}
	for _, f := range c.feeds {
		upSince, read := f.upSince.Load(), f.readAt.Load()
		if f.down.Load() || upSince == nil {
			return 0, 0
		}
		since = slices.MaxFunc([]time.Time{since, *upSince}, time.Time.Compare)
		readAt = slices.MaxFunc([]time.Time{readAt, *read}, time.Time.Compare)
	}
	return now.Sub(since), now.Sub(readAt)
}

// reregisterTime returns how long an upstream whose entry is missing after an outage has to
// register again. The time counts from the end of the outage for the first of the VMs. If
// a peer has read the store in this VM's outage, the store was there all the while, and the
// upstream has left; it has left too if the outage was too short for its entry to lapse. read is
// the end of the first read after the outage, as time since the boot of the machine.
func (c *control) reregisterTime(now time.Time, read time.Duration) time.Duration {
	since, known := c.storeUptime.returned()
	if !known && !c.fresh.readWithin(read, lapseBeats*c.settings.Heartbeat) {
		since = now
	}
	if c.storeEra.since.After(since) { // a store that comes back from a copy was away
		since = c.storeEra.since
	}
	return max(reregisterGrace-now.Sub(since), 0)
}

// downSince returns the begin of this VM's last outage; the zero time if there was none.
func (c *control) downSince() time.Time {
	if f, ok := c.feeds[platform.UpstreamsTopic]; ok {
		if at := f.downSince.Load(); at != nil {
			return *at
		}
	}
	return time.Time{}
}

// updateBackoff makes the feed of a follower back off less if the store answers others:
// nobody else will tell it when its own path to the store is whole again.
func (c *control) updateBackoff(now time.Time) {
	if f, ok := c.feeds[platform.UpstreamsTopic]; ok {
		f.slowRetry.Store(f.followsRole.Load() && now.Sub(c.storeUptime.readAt) > uptimeAge)
	}
}
