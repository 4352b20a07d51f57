// Package route provides the routing table of a VM of `tanagerlb edge`: which
// service serves a request, whether the request may be retried, and how long a
// caller may wait. A table is immutable and belongs to one version of the
// configuration.
package route

import (
	"strings"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/org"
)

// Kind determines when a request may be retried, and whether it is answered with a
// stream.
type Kind int

// Kinds of requests.
const (
	Unsafe Kind = iota // not idempotent: runs at most once
	Safe               // idempotent: may run again after any failure
	Stream             // answered with a stream of events
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Stream:
		return "stream"
	default:
		return "unsafe"
	}
}

// Split is the share of a route's requests that goes to one service.
type Split struct {
	Service string
	Weight  float64 // relative to the other splits of the route
}

// Route tells how requests to one host and path prefix are served.
type Route struct {
	Name        string
	Host        string // lower case, without a port
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Resumable   bool          // a broken stream may be resumed at another upstream
	Timeout     time.Duration // longest time that a caller waits; 0 for no limit
	Objective   time.Duration // target latency of a response, or of a stream's first event
	TargetGap   time.Duration // target for the longest pause between two events of a stream
	Urgency     int           // priority of the requests; 0 is the most urgent
	MaxAttempts int           // largest number of upstreams that one request is sent to
	Public      bool          // requests need no key, even if there are organisations
	Splits      []Split       // services that share the requests; at least one
}

// Retryable reports whether a request of the route may be sent again after an
// attempt that may have run.
func (r *Route) Retryable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// PickService returns the service for a request, chosen at random in proportion to
// the weights of the splits, or "" if the route has no splits. pick is the random
// number, in [0, 1).
func (r *Route) PickService(pick float64) string {
	total := 0.0
	for _, s := range r.Splits {
		total += s.Weight
	}
	rest := pick * total
	for _, s := range r.Splits {
		if rest < s.Weight {
			return s.Service
		}
		rest -= s.Weight
	}
	if len(r.Splits) == 0 {
		return ""
	}
	return r.Splits[len(r.Splits)-1].Service
}

// Model is a base model of a service's engines.
type Model struct {
	Name      string
	WeightsMB float64       // size of the weights, in MB
	AdapterMB float64       // size of one adapter, in MB
	Adapters  int           // number of adapters that exist for the model
	LoadTime  time.Duration // time to load the model from the weight store; 0 if unknown
}

// Engine describes the inference engines of a service.
type Engine struct {
	BatchSize    int     // requests that one engine runs at once
	KVCapacity   int     // capacity of the KV cache, in tokens
	MemoryMB     float64 // memory for weights and adapters, in MB
	AdapterSlots int     // adapters that one engine holds at once
	Models       []Model
	LoadRate     float64 // base models per second that all engines together may load from the weight store; 0 for no limit
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name       string
	HealthPath string  // path of the health check
	MaxConns   int     // connections that one upstream accepts in total
	Engine     *Engine // nil for a plain service, which has no engines
}

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes   int           // size of the header, in bytes
	BodyBytes     int64         // size of the body, in bytes
	HeaderTimeout time.Duration // time for a request's header to arrive
	IdleTimeout   time.Duration // time that a connection may stay idle
}

// Config is one version of the configuration that operators write.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Organisations are those whose keys requests must carry; nil if requests need no key.
	Organisations *org.Directory
}

// Table looks up the routes and services of one version of the configuration.
type Table struct {
	Version int64
	Limits  Limits
	// Organisations are those whose keys requests must carry; nil if requests need no key.
	Organisations *org.Directory
	hosts         map[string]map[string]*Route // routes of each host by prefix
	services      map[string]*Service
	longest       int // length of the longest prefix
}

// New returns the table for a configuration. The table refers to the routes and
// services in c, which must not change afterwards.
func New(c Config) *Table {
	t := &Table{Version: c.Version, Limits: c.Limits, Organisations: c.Organisations, hosts: map[string]map[string]*Route{}, services: map[string]*Service{}}
	for i := range c.Routes {
		r := &c.Routes[i]
		if t.hosts[r.Host] == nil {
			t.hosts[r.Host] = map[string]*Route{}
		}
		t.longest = max(t.longest, len(r.Prefix))
		if _, ok := t.hosts[r.Host][r.Prefix]; !ok {
			t.hosts[r.Host][r.Prefix] = r
		}
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Find returns the host's route with the longest prefix that matches the path, or
// nil if none matches. The host may include a port; the path must have no query.
func (t *Table) Find(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	routes := t.hosts[strings.ToLower(host)]
	path = path[:min(len(path), t.longest)]
	for end := strings.LastIndexByte(path, '/') + 1; end > 0; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		if r, ok := routes[path[:end]]; ok {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Newer returns the table with the higher version; either may be nil. So an old
// configuration never replaces a newer one, even if the old one is read again or
// comes from a peer that lags behind.
func Newer(current, next *Table) *Table {
	if current == nil || (next != nil && next.Version > current.Version) {
		return next
	}
	return current
}
