// Package org identifies organisations by the keys of their requests. Keys are
// secrets: a Directory holds only salted hashes of them.
package org

import (
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"math"
	"strings"
	"unicode"
)

// Errors for configurations with invalid organisations.
var (
	ErrName      = errors.New("organisation without a valid name")
	ErrDuplicate = errors.New("two organisations have one name")
	ErrKey       = errors.New("invalid key of an organisation")
	ErrSharedKey = errors.New("two organisations have one key")
	ErrPriority  = errors.New("priority of an organisation is out of range")
	ErrQuota     = errors.New("invalid quota of an organisation")
)

const (
	// MaxPriority is the priority of the least urgent organisations.
	MaxPriority = 9
	// maxKeyBytes bounds the length of a key, so that it fits a buffer on the stack.
	maxKeyBytes = 256
	// MaxAmount bounds rates, bursts and costs, so that sums of them don't overflow.
	MaxAmount = 1e12
)

// Key is the secret by which an organisation is identified. It is formatted without its value.
type Key string

// String implements fmt.Stringer.
func (Key) String() string { return "(key)" }

// GoString implements fmt.GoStringer.
func (Key) GoString() string { return "(key)" }

// MarshalText implements encoding.TextMarshaler.
func (Key) MarshalText() ([]byte, error) { return []byte("(key)"), nil }

// Quota limits what an organisation uses over all VMs together.
type Quota struct {
	Rate      float64 // tokens or requests per second; 0 for no limit
	Burst     float64 // tokens or requests beyond the rate
	Tokens    bool    // the quota counts tokens; otherwise requests
	PlainCost int64   // tokens of a request that states no number of tokens
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Cost returns what a request counts that states a number of tokens; 0 if it states none.
func (q Quota) Cost(tokens int64) int64 {
	switch {
	case !q.Tokens:
		return 1
	case tokens > 0:
		return tokens
	default:
		return q.PlainCost
	}
}

// Organisation is a customer with keys of its own.
type Organisation struct {
	Name     string
	Keys     []Key // nil in organisations of a Directory
	Priority *int  // replaces the priority of routes; nil if not set
	Quota    Quota
}

// Urgency returns the priority of an organisation's requests on a route with a priority. 0 is the
// most urgent.
func (o *Organisation) Urgency(route int) int {
	if o.Priority != nil {
		return *o.Priority
	}
	return route
}

type digest [sha256.Size]byte

type entry struct {
	digest       digest
	organisation *Organisation
}

// Directory finds the organisation that holds a key. It is immutable. A nil Directory has no
// organisations.
type Directory struct {
	salt   Salt
	byKey  map[digest]entry
	byName map[string]*Organisation
}

// Salt is a random value that must not be known outside the process.
type Salt [sha256.Size]byte

// New returns the directory of the organisations.
func New(salt Salt, list []Organisation) (*Directory, error) {
	d := &Directory{salt: salt, byKey: map[digest]entry{}, byName: make(map[string]*Organisation, len(list))}
	for _, o := range list {
		if err := validate(o); err != nil {
			return nil, err
		}
		if _, ok := d.byName[o.Name]; ok {
			return nil, fmt.Errorf("%w: %q", ErrDuplicate, o.Name)
		}
		kept := &Organisation{Name: o.Name, Priority: o.Priority, Quota: o.Quota}
		d.byName[o.Name] = kept
		for _, key := range o.Keys {
			if key == "" || len(key) > maxKeyBytes {
				return nil, fmt.Errorf("%w: %q", ErrKey, o.Name)
			}
			hash := d.hash(string(key))
			if other, ok := d.byKey[hash]; ok && other.organisation != kept {
				return nil, fmt.Errorf("%w: %q and %q", ErrSharedKey, other.organisation.Name, o.Name)
			}
			d.byKey[hash] = entry{digest: hash, organisation: kept}
		}
	}
	return d, nil
}

func validate(o Organisation) error {
	switch {
	case !isName(o.Name):
		return ErrName
	case o.Priority != nil && (*o.Priority < 0 || *o.Priority > MaxPriority):
		return fmt.Errorf("%w: %q: %d", ErrPriority, o.Name, *o.Priority)
	case !isAmount(o.Quota.Rate) || !isAmount(o.Quota.Burst) || !isAmount(float64(o.Quota.PlainCost)):
		return fmt.Errorf("%w: %q: rate %g, burst %g, %d for a request without tokens", ErrQuota, o.Name, o.Quota.Rate, o.Quota.Burst, o.Quota.PlainCost)
	default:
		return nil
	}
}

// isName reports whether upstreams get a name unchanged in a header.
func isName(name string) bool {
	return name != "" && strings.TrimSpace(name) == name && !strings.ContainsFunc(name, unicode.IsControl)
}

func isAmount(n float64) bool { return !math.IsNaN(n) && n >= 0 && n <= MaxAmount }

func (d *Directory) hash(key string) digest {
	var buffer [sha256.Size + maxKeyBytes]byte
	copy(buffer[:], d.salt[:])
	n := copy(buffer[sha256.Size:], key)
	return sha256.Sum256(buffer[:sha256.Size+n])
}

// Find returns the organisation that holds a key, or nil if none does. How long it takes tells
// nothing about keys, as the salt of the hashes is not known outside the process.
func (d *Directory) Find(key string) *Organisation {
	if d == nil || key == "" || len(key) > maxKeyBytes {
		return nil
	}
	hash := d.hash(key)
	found, ok := d.byKey[hash]
	if !ok || subtle.ConstantTimeCompare(hash[:], found.digest[:]) != 1 {
		return nil
	}
	return found.organisation
}

// Get returns the organisation with a name, or nil.
func (d *Directory) Get(name string) *Organisation {
	if d == nil {
		return nil
	}
	return d.byName[name]
}

// Len returns the number of organisations.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}

// All returns the organisations by name. The map must not be changed.
func (d *Directory) All() map[string]*Organisation {
	if d == nil {
		return nil
	}
	return d.byName
}
