// Package keys provides at-most-once execution of calls with an idempotency
// key, for `tanagerlb serve`. There are two kinds of key.
//
// A plain key belongs to one of a fixed number of partitions, each of which has
// a log stream. Each attempt at a call first appends a record, its intent, to
// the stream, and only the attempt with the first intent for the key may run
// the call. This holds even if VMs disagree about which of them is responsible
// for the key. The scheme resembles Romano and Quaglia's multi-instance
// precommit, which reconciles sibling transactions on the least instance. In
// both, attempts need not know of each other, because a single order decides
// among them; here it is the order of the log.
//
// A bound key names one incarnation (one process run) of one VM. Only this
// incarnation may run the call, and it keeps the key in memory only.
package keys

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/rank"
)

// ErrMalformed is returned for a text that is not an idempotency key.
var ErrMalformed = errors.New("malformed idempotency key")

// keyPattern matches "[boot.]seconds-random".
var keyPattern = regexp.MustCompile(`^(?:([0-9a-f]{16})\.)?([0-9]{1,12})-([A-Za-z0-9_-]{8,64})$`)

// Key is an idempotency key. It contains its creation time, so an expired key is
// recognised even after the table has removed what it knew about the key.
type Key struct {
	Boot      string    // incarnation that the key is bound to; empty for a plain key
	CreatedAt time.Time // creation time in whole seconds
	Text      string
}

// Parse parses a plain key, "seconds-random", or a bound key,
// "boot.seconds-random". Here seconds is the creation time since the Unix epoch,
// random is 8 to 64 characters of A-Z, a-z, 0-9, _ and -, and boot is 16
// hexadecimal digits in lower case.
func Parse(text string) (Key, error) {
	parts := keyPattern.FindStringSubmatch(text)
	if parts == nil {
		return Key{}, fmt.Errorf("parse key of %d bytes: %w", len(text), ErrMalformed)
	}
	seconds, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil {
		return Key{}, fmt.Errorf("parse key: %w: %w", ErrMalformed, err)
	}
	return Key{Boot: parts[1], CreatedAt: time.Unix(seconds, 0), Text: text}, nil
}

// NewKey returns a key created at now. The key is plain if boot is empty, and
// bound to that incarnation otherwise.
func NewKey(now time.Time, boot, random string) Key {
	text := strconv.FormatInt(now.Unix(), 10) + "-" + random
	if boot != "" {
		text = boot + "." + text
	}
	return Key{Boot: boot, CreatedAt: time.Unix(now.Unix(), 0), Text: text}
}

// streamPrefix begins the name of each partition's log stream.
const streamPrefix = "keys-"

// StreamName returns the name of a partition's log stream.
func StreamName(partition int) string { return streamPrefix + strconv.Itoa(partition) }

// Partition returns the partition of a plain key, from 0 to partitions-1.
func (k Key) Partition(partitions int) int {
	return int(rank.Score("partition", k.Text) % uint64(partitions)) //nolint:gosec // below partitions
}

// ParseStream returns the partition whose log stream has the given name, and
// whether there is one.
func ParseStream(stream string) (int, bool) {
	number, ok := strings.CutPrefix(stream, streamPrefix)
	if !ok {
		return 0, false
	}
	p, err := strconv.Atoi(number)
	return p, err == nil
}
