package config

import (
	"cmp"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/check"
)

// minRetainFactor is the minimum of Log.Retention as a multiple of
// Keys.Lifetime.
const minRetainFactor = 2

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$`)

type checker struct{ tree *check.Tree }

func (c *checker) settings(s Settings) {
	c.name("vm", s.VM)
	c.name("zone", s.Zone)
	c.addresses(s)
	for i, b := range s.BaseModels {
		c.name(fmt.Sprintf("bases[%d]", i), b)
	}
	checkRange(c, "log.group", s.Log.AppendInterval, time.Millisecond, 5*time.Second)
	checkRange(c, "log.wait", s.Log.ReadWait, 50*time.Millisecond, time.Second)
	checkRange(c, "log.timeout", s.Log.Timeout, 50*time.Millisecond, 10*time.Second)
	checkRange(c, "log.retain", s.Log.Retention, time.Second, 365*24*time.Hour)
	checkRange(c, "list.every", s.VMList.Interval, 100*time.Millisecond, time.Minute)
	checkRange(c, "store.rate", s.Store.LoadRate, 0.1, 10_000)
	checkRange(c, "store.most", s.Store.MaxLoads, 1, 10_000)
	checkRange(c, "store.load", s.Store.LoadTime, time.Millisecond, time.Minute)
	checkRange(c, "weights.stall", s.Weights.Stall, 0, 1000)
	checkRange(c, "weights.batch", s.Weights.Batch, 0, 1000)
	c.keys(s)
	checkRange(c, "limits.attempts", s.Limits.MaxAttempts, 1, 16)
	checkRange(c, "limits.retries", s.Limits.RetryRatio, 0, 1)
	checkRange(c, "limits.slack", s.Limits.RetrySlack, 0, 1_000_000)
	checkRange(c, "limits.calls", s.Limits.MaxCalls, 1, 1_000_000)
	checkRange(c, "limits.queue", s.Limits.MaxQueue, 1, 1_000_000)
	checkRange(c, "limits.silence", s.Limits.ProgressTimeout, 100*time.Millisecond, time.Minute)
	checkRange(c, "limits.ttl", s.Limits.AddressTTL, time.Second, time.Minute)
	checkRange(c, "limits.memory", s.Limits.MemoryMb, 0, 1_000_000)
	checkRange(c, "limits.files", s.Limits.Descriptors, 0, 10_000_000)
	checkRange(c, "limits.shutdown", s.Limits.ShutdownTimeout, time.Second, time.Hour)
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.Logging.Level) {
		c.tree.AddAt("logging.level", "must be debug, info, warn or error")
	}
}

func (c *checker) keys(s Settings) {
	checkRange(c, "keys.partitions", s.Keys.Partitions, 1, 4096)
	checkRange(c, "keys.life", s.Keys.Lifetime, time.Second, 24*time.Hour)
	checkRange(c, "keys.skew", s.Keys.MaxClockSkew, 0, time.Minute)
	checkRange(c, "keys.most", s.Keys.MaxKeys, 1, 10_000_000)
	checkRange(c, "keys.keep", s.Keys.MaxReplyBytes, 0, 1<<20)
	if s.Log.Retention < minRetainFactor*s.Keys.Lifetime {
		c.tree.AddAt("keys.life", "must be at most half of log.retain")
	}
}

func (c *checker) addresses(s Settings) {
	seen := map[netip.AddrPort]string{}
	for _, a := range []struct {
		path    string
		address netip.AddrPort
	}{
		{"caller", s.Caller},
		{"operator", s.Operator},
		{"peer", s.Peer},
		{"log.address", s.Log.Address},
		{"list.address", s.VMList.Address},
	} {
		if !a.address.IsValid() || a.address.Port() == 0 {
			c.tree.AddAt(a.path, "needs an IP and port")
			continue
		}
		if first, ok := seen[a.address]; ok {
			c.tree.AddAt(a.path, "%s stands already at %s", a.address, first)
			continue
		}
		seen[a.address] = a.path
	}
}

func (c *checker) name(path, name string) {
	if !namePattern.MatchString(name) {
		c.tree.AddAt(path, "%q is not a name", name)
	}
}

func checkRange[T cmp.Ordered](c *checker, path string, value, low, high T) {
	if value < low || value > high || value != value { //nolint:gocritic // a NaN differs from itself
		c.tree.AddAt(path, "must be between %v and %v", low, high)
	}
}
