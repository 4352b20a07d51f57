package spec

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"time"

	"github.com/tanagerlb/tanagerlb/pkg/check"
)

// Limits of a document. DefaultDeadline is the deadline of a kind of call for
// which the document states none.
const (
	MaxDocumentBytes = 4 << 20 // size of a document's text, in bytes
	MaxAdapters      = 100_000
	MaxEngines       = 10_000
	MaxSlots         = 1_024
	MaxBatch         = 4_096
	MinDeadline      = 10 * time.Millisecond
	MaxDeadline      = time.Hour
	DefaultDeadline  = 30 * time.Second
)

var (
	namePattern    = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$`)
	adapterPattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._/-]{0,127}$`)
)

// Parse decodes and validates a document. It returns all findings together, as
// a *check.Error. If bases is not empty, it must contain the document's base
// model. Kinds of call without a deadline get DefaultDeadline.
func Parse(file string, text []byte, bases []string) (*Document, error) {
	if len(text) > MaxDocumentBytes {
		list := check.List{File: file}
		list.Addf(1, 1, "document of %d bytes is larger than %d", len(text), MaxDocumentBytes)
		return nil, list.Err()
	}
	d := &Document{}
	c := &checker{tree: check.Decode(file, text, d), bases: bases}
	c.document(d)
	if err := c.tree.Err(); err != nil {
		return nil, err
	}
	for i := range d.Calls {
		if d.Calls[i].Deadline == 0 {
			d.Calls[i].Deadline = DefaultDeadline
		}
	}
	return d, nil
}

type checker struct {
	tree  *check.Tree
	bases []string
}

func (c *checker) document(d *Document) {
	c.name("service", d.Service)
	c.calls(d.Calls)
	switch d.Kind {
	case Model:
		c.model(d)
	case Plain:
		c.plain(d)
	default:
		c.tree.AddAt("kind", "must be model or plain")
	}
}

func (c *checker) model(d *Document) {
	c.name("base", d.BaseModel)
	if len(c.bases) > 0 && d.BaseModel != "" && !slices.Contains(c.bases, d.BaseModel) {
		c.tree.AddAt("base", "unknown base model %q", d.BaseModel)
	}
	for i, call := range d.Calls {
		if call.AtMostOnce {
			c.tree.AddAt(fmt.Sprintf("calls[%d].once", i), "only for plain services")
		}
	}
	if len(d.Upstreams) > 0 {
		c.tree.AddAt("upstreams", "only for plain services")
	}
	if len(d.Engines) == 0 {
		c.tree.AddAt("engines", "at least one engine is needed")
	}
	c.atMost("engines", len(d.Engines), MaxEngines)
	c.atMost("adapters", len(d.Adapters), MaxAdapters)
	names, addresses := firstPaths{}, firstPaths{}
	for i, e := range d.Engines {
		path := fmt.Sprintf("engines[%d]", i)
		c.name(path+".name", e.Name)
		c.address(path+".address", e.Address)
		c.inRange(path+".slots", e.Slots, MaxSlots)
		c.inRange(path+".batch", e.BatchSize, MaxBatch)
		c.unique(names, path+".name", e.Name)
		c.unique(addresses, path+".address", e.Address.String())
	}
	c.adapters(d.Adapters)
}

func (c *checker) adapters(adapters []Adapter) {
	names := firstPaths{}
	for i, a := range adapters {
		path := fmt.Sprintf("adapters[%d]", i)
		if !adapterPattern.MatchString(a.Name) {
			c.tree.AddAt(path+".name", "%q is not an adapter's name", a.Name)
		}
		c.name(path+".version", a.Version)
		c.unique(names, path+".name", a.Name)
	}
}

func (c *checker) plain(d *Document) {
	if len(d.Engines) > 0 {
		c.tree.AddAt("engines", "only for model services")
	}
	if len(d.Adapters) > 0 {
		c.tree.AddAt("adapters", "only for model services")
	}
	if len(d.Upstreams) == 0 {
		c.tree.AddAt("upstreams", "at least one upstream is needed")
	}
	names, addresses := firstPaths{}, firstPaths{}
	for i, u := range d.Upstreams {
		path := fmt.Sprintf("upstreams[%d]", i)
		c.name(path+".name", u.Name)
		c.address(path+".address", u.Address)
		c.unique(names, path+".name", u.Name)
		c.unique(addresses, path+".address", u.Address.String())
	}
}

func (c *checker) calls(calls []Call) {
	names := firstPaths{}
	for i, call := range calls {
		path := fmt.Sprintf("calls[%d]", i)
		c.name(path+".name", call.Name)
		c.unique(names, path+".name", call.Name)
		if _, ok := ParseUrgency(call.Urgency); !ok {
			c.tree.AddAt(path+".urgency", "must be urgent, normal or patient")
		}
		if call.Deadline != 0 && (call.Deadline < MinDeadline || call.Deadline > MaxDeadline) {
			c.tree.AddAt(path+".deadline", "must be between %s and %s", MinDeadline, MaxDeadline)
		}
	}
}

func (c *checker) name(path, name string) {
	if !namePattern.MatchString(name) {
		c.tree.AddAt(path, "%q is not a name", name)
	}
}

func (c *checker) address(path string, a netip.AddrPort) {
	if !a.IsValid() || a.Port() == 0 {
		c.tree.AddAt(path, "needs an IP and port")
	}
}

func (c *checker) inRange(path string, value, limit int) {
	if value < 1 || value > limit {
		c.tree.AddAt(path, "must be between 1 and %d", limit)
	}
}

func (c *checker) atMost(path string, value, limit int) {
	if value > limit {
		c.tree.AddAt(path, "more than %d", limit)
	}
}

// firstPaths maps each value that must not be repeated to the path of its first
// occurrence.
type firstPaths map[string]string

func (c *checker) unique(seen firstPaths, path, value string) {
	if first, ok := seen[value]; ok {
		c.tree.AddAt(path, "%q stands already at %s", value, first)
		return
	}
	seen[value] = path
}
