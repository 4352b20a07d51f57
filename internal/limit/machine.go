package limit

import (
	"runtime/debug"

	"github.com/tanagerlb/tanagerlb/pkg/budget"
)

// Machine holds the limits of the machine that a process runs on. A limit of 0 is not known.
type Machine struct {
	MemoryBytes int64 // memory that the process may use
	Descriptors int   // descriptors that it may have open
}

// Shares of the machine's limits. Of the memory, the rest is for the configuration, the state of
// the fleet, and garbage; of the descriptors, for connections to the store, to peers and idle ones to
// upstreams.
const (
	heapShare              = 0.75 // memory that the Go runtime may use, beside the program's text
	callerMemoryShare      = 0.38
	otherMemoryShare       = 0.06
	callerDescriptorsShare = 0.6
	otherDescriptorsShare  = 0.12
)

// LimitRuntime makes the garbage collector keep the process within the memory of the machine. It
// runs as usual as long as the heap is small: a smaller GOGC would cost time on each request.
func (m Machine) LimitRuntime() {
	if m.MemoryBytes > 0 {
		debug.SetMemoryLimit(m.share(heapShare, 0).Bytes)
	}
}

// Callers returns what callers may hold, including the connections to upstreams of their requests.
func (m Machine) Callers() budget.Config { return m.share(callerMemoryShare, callerDescriptorsShare) }

// Others returns what the clients of the other ports may hold: the platform, operators, other VMs,
// and callers that ask for addresses.
func (m Machine) Others() budget.Config { return m.share(otherMemoryShare, otherDescriptorsShare) }

func (m Machine) share(memory, descriptors float64) budget.Config {
	return budget.Config{Bytes: int64(memory * float64(m.MemoryBytes)), Descriptors: int(descriptors * float64(m.Descriptors))}
}
