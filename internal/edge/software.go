package edge

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/pkg/origin"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
	"github.com/tanagerlb/tanagerlb/platform"
)

// keySoftware prefixes the keys of softwareRecords in the fleet topic.
const keySoftware = "soft/"

// softwareRecord is the value of a record of the fleet topic: the versions of their software that
// the engines of a service have, or have had shortly before, if there are several. A VM that
// starts learns from it that a stream may have begun at a version that no engine has any more.
type softwareRecord struct {
	Versions []softwareVersion `json:"versions"`
}

type softwareVersion struct {
	Name string `json:"name"`
	Seen int64  `json:"seen,omitempty"` // when an engine last had it, in Unix milliseconds; 0 while one has
}

// softwareSaved is the result of writing a softwareRecord.
type softwareSaved struct {
	service string
	record  softwareRecord
	era     int64
	err     error
}

func (softwareSaved) event() {}

// software is what the control loop knows of the versions of the engines' software.
type software struct {
	reviewed time.Time                 // time of the last review
	saved    map[string]softwareRecord // records in the store, by service
	unsaved  map[string]time.Time      // services whose record in the store differs, and since when
	saving   bool
}

func newSoftware() software {
	return software{saved: map[string]softwareRecord{}, unsaved: map[string]time.Time{}}
}

// tells reports whether a record tells the same of a service as another one: the times at which
// versions went may differ a little between VMs.
func (r softwareRecord) tells(other softwareRecord) bool {
	return slices.EqualFunc(r.Versions, other.Versions, func(a, b softwareVersion) bool {
		return a.Name == b.Name && (a.Seen == 0) == (b.Seen == 0)
	})
}

// reviewSoftware records which versions the engines have, and saves what the store lacks.
func (c *control) reviewSoftware(ctx context.Context, now time.Time) {
	if now.Sub(c.software.reviewed) < reviewInterval {
		return
	}
	c.software.reviewed = now
	present := map[origin.Origin]bool{}
	for _, u := range c.engineUpstreams() {
		present[origin.Origin{Service: u.Service, Software: u.Software}] = true
	}
	c.origins.noteVersions(now, now, slices.Collect(maps.Keys(present))...)
	records := map[string]softwareRecord{}
	for o, seen := range c.origins.lately(now) {
		v := softwareVersion{Name: o.Software}
		if !present[o] {
			v.Seen = seen.UnixMilli()
		}
		r := records[o.Service]
		r.Versions = append(r.Versions, v)
		records[o.Service] = r
	}
	for service, r := range records {
		slices.SortFunc(r.Versions, func(a, b softwareVersion) int { return strings.Compare(a.Name, b.Name) })
		if len(r.Versions) < 2 || r.tells(c.software.saved[service]) {
			delete(c.software.unsaved, service)
			continue
		}
		if _, ok := c.software.unsaved[service]; !ok {
			c.software.unsaved[service] = now
		}
		if now.Sub(c.software.unsaved[service]) >= saveGrace || c.savesSoftware(service) {
			c.saveSoftware(ctx, service, r)
		}
	}
}

// savesSoftware reports whether this VM is the first one to save the versions of a service.
func (c *control) savesSoftware(service string) bool {
	names, _ := c.liveVMs()
	return rank.First(keySoftware+service, names) == c.self.Name
}

func (c *control) saveSoftware(ctx context.Context, service string, r softwareRecord) {
	value, err := json.Marshal(r)
	if err != nil {
		c.logger.Error("fleet: cannot encode the versions of a service", zap.Error(err))
		return
	}
	if c.software.saving {
		return
	}
	c.software.saving = true
	record := platform.Record{Key: keySoftware + service, Value: value}
	go (&softwareJob{store: c.store, post: c.post, record: record, saved: softwareSaved{service: service, record: r}}).run(ctx)
}

// softwareJob writes a softwareRecord to the fleet topic.
type softwareJob struct {
	store  *platform.Store
	post   func(event)
	record platform.Record
	saved  softwareSaved
}

func (j *softwareJob) run(ctx context.Context) {
	j.saved.era, j.saved.err = j.store.Append(ctx, platform.FleetTopic, anyOffset, j.record)
	j.post(j.saved)
}

func (c *control) noteSoftwareSaved(now time.Time, e softwareSaved) {
	c.software.saving = false
	if e.err != nil {
		c.logger.Info("fleet: cannot save the versions of a service", zap.String("service", e.service), zap.Error(e.err))
		return
	}
	c.noteEra(now, e.era, "append")
	if e.era == c.storeEra.newest {
		c.software.saved[e.service] = e.record
	}
}

// applySoftware applies a softwareRecord. An engine may have had a version until now if the
// record does not tell when it went.
func (c *control) applySoftware(now time.Time, service string, value []byte) {
	var r softwareRecord
	if err := json.Unmarshal(value, &r); err != nil {
		c.logger.Warn("fleet: record is ignored", zap.String("key", keySoftware+service), zap.Error(err))
		return
	}
	c.software.saved[service] = r
	for _, v := range r.Versions {
		seen := now
		if v.Seen > 0 && time.UnixMilli(v.Seen).Before(now) {
			seen = time.UnixMilli(v.Seen)
		}
		c.origins.noteVersions(now, seen, origin.Origin{Service: service, Software: v.Name})
	}
}
