// Package pace keeps to the request rates that upstreams name. Such a limit holds for all
// VMs together, for as long as the upstream names it in its answers.
package pace

import "time"

// Limit is what an answer says of its upstream's limit.
type Limit struct {
	Named bool    // false if the upstream takes any rate
	Rate  float64 // requests per second that it takes from all VMs together
}

// Observation is a Limit with the times that order it among others.
type Observation struct {
	Limit
	Sent time.Time // when the request was sent
	At   time.Time // when the head of its answer arrived
}

// Table holds what the last answers of upstreams said. It is not safe for concurrent use.
type Table struct{ newest map[string]Observation }

// NewTable returns an empty table.
func NewTable() *Table { return &Table{newest: map[string]Observation{}} }

// Observe records what an answer of an upstream said, and reports whether its limit has
// changed. An answer without a limit ends one only if its request was sent after the last
// answer with a limit, as answers may overtake each other.
func (t *Table) Observe(upstream string, o Observation) bool {
	last, ok := t.newest[upstream]
	switch {
	case !ok && !o.Named, ok && !o.At.After(last.At):
		return false
	case last.Named && !o.Named && !o.Sent.After(last.At):
		return false
	}
	t.newest[upstream] = o
	return o.Limit != last.Limit
}

// Get returns the last observation of an upstream; the zero value if there is none.
func (t *Table) Get(upstream string) Observation { return t.newest[upstream] }

// Named returns the last observations of the upstreams that name a limit.
func (t *Table) Named() map[string]Observation {
	named := map[string]Observation{}
	for upstream, o := range t.newest {
		if o.Named {
			named[upstream] = o
		}
	}
	return named
}

// Forget drops an upstream that has restarted or is gone.
func (t *Table) Forget(upstream string) { delete(t.newest, upstream) }
