// Package call describes the requests that callers send to an entry VM (the VM that
// a caller connects to).
package call

import (
	"strconv"
	"time"
)

// Call holds what a caller states about a request in its headers.
type Call struct {
	ID           string
	Deadline     time.Duration // how long the caller waits; 0 if the request does not say
	Model        string        // base model; empty for plain services
	Adapter      string        // adapter of the model; empty for the base model itself
	PromptTokens int           // number of tokens in the prompt
	MaxTokens    int           // maximum number of tokens to generate
	PromptParts  []Part        // sections of the prompt, in order; all but the last may be shared with other requests
	LastEventID  string        // id of the last event that the caller has received; empty for a new stream
	Stream       string        // id of the caller's attempt that brought the first event of the stream that it resumes; empty for a new stream
}

// Part is a section of a prompt, identified by its content.
type Part struct {
	ID     uint64 `msgpack:"i"`
	Tokens int    `msgpack:"t"`
}

// String returns the id of the part in hexadecimal, as callers state it.
func (p Part) String() string { return strconv.FormatUint(p.ID, 16) }

// SharedParts returns the parts of the prompt that other requests may have too: all but the
// last, which belongs to the request or its session.
func (c *Call) SharedParts() []Part {
	if len(c.PromptParts) == 0 {
		return nil
	}
	return c.PromptParts[:len(c.PromptParts)-1]
}

// Timeout returns how long a request may take: the shorter of Deadline and the
// timeout of its route. If either is 0, only the other one applies; if both are 0,
// Timeout returns fallback.
func (c *Call) Timeout(timeout, fallback time.Duration) time.Duration {
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
