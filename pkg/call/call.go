// Package call provides what a caller's request says of itself.
package call

import "time"

// Call describes one attempt of a caller's request.
type Call struct {
	ID       string
	Deadline time.Duration // how long the caller waits; 0 if it does not say
	Model    string        // base model; empty for plain services
	Adapter  string        // adapter of the model; empty for the base model itself
	Prompt   int           // tokens of the prompt
	Output   int           // most tokens that it may generate
	Parts    []Part        // of the prompt, in order; shared with other requests but for the last
	Resumes  string        // id of the last event that the caller has; empty for a new stream
}

// Part is a piece of a prompt.
type Part struct {
	ID     uint64 `msgpack:"i"`
	Tokens int    `msgpack:"t"`
}

// Bound returns how long a request may take: the shorter one of the caller's
// deadline and the route's timeout, of which 0 stands for none.
func (c *Call) Bound(timeout, fallback time.Duration) time.Duration {
	switch {
	case c.Deadline <= 0 && timeout <= 0:
		return fallback
	case c.Deadline <= 0:
		return timeout
	case timeout <= 0:
		return c.Deadline
	default:
		return min(c.Deadline, timeout)
	}
}
