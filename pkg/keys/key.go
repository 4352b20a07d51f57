// Package keys provides at-most-once execution of calls that carry an
// idempotency key.
//
// A plain key is kept in a log stream: the first intent for it decides who may
// run the call, whatever VMs believe of each other. This is akin to the
// reconciliation of sibling transactions on the least instance in Romano and
// Quaglia's multi-instance precommit: attempts need not know of each other,
// and one order, here that of the log, decides among them. A bound key names
// one incarnation of one VM, which keeps it in memory.
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

// ErrMalformed tells that a text is not an idempotency key.
var ErrMalformed = errors.New("malformed idempotency key")

// keyPattern is "[boot.]seconds-random".
var keyPattern = regexp.MustCompile(`^(?:([0-9a-f]{16})\.)?([0-9]{1,12})-([A-Za-z0-9_-]{8,64})$`)

// Key is an idempotency key. It tells when it was made, so that its lifetime
// needs no memory.
type Key struct {
	Boot string    // incarnation that the key is bound to; empty for a plain key
	Made time.Time // whole seconds
	Text string
}

// Parse parses "seconds-random", a plain key, or "boot.seconds-random", a
// bound one. Seconds are those since the Unix epoch, random is 8 to 64
// characters of A-Z, a-z, 0-9, _ and -, boot is 16 hexadecimal digits.
func Parse(text string) (Key, error) {
	parts := keyPattern.FindStringSubmatch(text)
	if parts == nil {
		return Key{}, fmt.Errorf("parse key of %d bytes: %w", len(text), ErrMalformed)
	}
	seconds, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil {
		return Key{}, fmt.Errorf("parse key: %w: %w", ErrMalformed, err)
	}
	return Key{Boot: parts[1], Made: time.Unix(seconds, 0), Text: text}, nil
}

// Make returns a plain key made at now, or one bound to an incarnation if boot
// is not empty.
func Make(now time.Time, boot, random string) Key {
	text := strconv.FormatInt(now.Unix(), 10) + "-" + random
	if boot != "" {
		text = boot + "." + text
	}
	return Key{Boot: boot, Made: time.Unix(now.Unix(), 0), Text: text}
}

// streamPrefix begins the name of each partition's stream.
const streamPrefix = "keys-"

// Stream returns the log stream of a partition.
func Stream(partition int) string { return streamPrefix + strconv.Itoa(partition) }

// Partition returns the partition whose log stream a plain key is kept in.
func (k Key) Partition(partitions int) int {
	return int(rank.Score("partition", k.Text) % uint64(partitions)) //nolint:gosec // below partitions
}

// ParseStream returns the partition of a log stream.
func ParseStream(stream string) (int, bool) {
	number, ok := strings.CutPrefix(stream, streamPrefix)
	if !ok {
		return 0, false
	}
	p, err := strconv.Atoi(number)
	return p, err == nil
}
