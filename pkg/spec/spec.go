// Package spec defines the service document, which `tanagerlb serve` reads. It
// describes what a team's service needs, which of its calls must run at most
// once, and how urgent each kind of call is.
package spec

import (
	"net/netip"
	"time"
)

// Kind is the kind of a service. It tells whether model engines or ordinary
// HTTP upstreams serve it.
type Kind string

// Kinds of service.
const (
	Model Kind = "model" // served by model engines with adapters
	Plain Kind = "plain" // served by ordinary HTTP upstreams
)

// Urgency is the priority of a call. Lower values are served first.
type Urgency int

// Levels of urgency, from the most to the least urgent.
const (
	Urgent Urgency = iota
	Normal
	Patient
)

// UrgencyLevels is how many values of Urgency there are. The urgency of a call is
// returned by Call.UrgencyLevel.
const UrgencyLevels = 3

// DefaultCall is the name of the kind of call that applies to requests that
// name none.
const DefaultCall = "default"

// Document is one version of a service's document: the engines or upstreams that
// serve the service, its adapters and its kinds of call.
type Document struct {
	Service   string     `yaml:"service"`
	Kind      Kind       `yaml:"kind"`
	BaseModel string     `yaml:"base,omitempty"` // base model of the adapters
	Calls     []Call     `yaml:"calls,omitempty"`
	Engines   []Engine   `yaml:"engines,omitempty"`
	Upstreams []Upstream `yaml:"upstreams,omitempty"`
	Adapters  []Adapter  `yaml:"adapters,omitempty"`
}

// Call describes one kind of call: its priority, its time limit and whether it
// may run more than once.
type Call struct {
	Name       string        `yaml:"name"`
	Urgency    string        `yaml:"urgency,omitempty"` // urgent, normal or patient
	AtMostOnce bool          `yaml:"once,omitempty"`    // must run at most once; requests need an idempotency key
	Deadline   time.Duration `yaml:"deadline,omitempty"`
}

// Engine is a model engine that serves the document's base model.
type Engine struct {
	Name            string         `yaml:"name"`
	Address         netip.AddrPort `yaml:"address"`
	Slots           int            `yaml:"slots"`            // maximum adapters loaded at once
	BatchSize       int            `yaml:"batch"`            // maximum sequences in one engine step
	SupportsFencing bool           `yaml:"fences,omitempty"` // refuses load and unload orders with an outdated fencing token
}

// Upstream is one instance of a plain service.
type Upstream struct {
	Name    string         `yaml:"name"`
	Address netip.AddrPort `yaml:"address"`
}

// Adapter identifies a version of a LoRA adapter.
type Adapter struct {
	Name    string `yaml:"name"`
	Version string `yaml:"version"`
}

// String returns "name@version".
func (a Adapter) String() string { return a.Name + "@" + a.Version }

// ParseUrgency returns the urgency with the given name, and whether there is
// one. An empty name means Normal.
func ParseUrgency(name string) (Urgency, bool) {
	switch name {
	case "urgent":
		return Urgent, true
	case "", "normal":
		return Normal, true
	case "patient":
		return Patient, true
	default:
		return Normal, false
	}
}

// String returns the name of the urgency.
func (u Urgency) String() string {
	switch u {
	case Urgent:
		return "urgent"
	case Patient:
		return "patient"
	default:
		return "normal"
	}
}

// UrgencyLevel returns the urgency of the call, which is Normal if the document
// states none.
func (c Call) UrgencyLevel() Urgency {
	u, _ := ParseUrgency(c.Urgency)
	return u
}

// FindCall returns the kind of call with the given name. Each document of a
// model service has DefaultCall, even if it does not list it.
func (d *Document) FindCall(name string) (Call, bool) {
	for _, c := range d.Calls {
		if c.Name == name {
			return c, true
		}
	}
	if name == DefaultCall && d.Kind == Model {
		return Call{Name: DefaultCall, Deadline: DefaultDeadline}, true
	}
	return Call{}, false
}
