package edge

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/pkg/crash"
	"github.com/tanagerlb/tanagerlb/pkg/rank"
	"github.com/tanagerlb/tanagerlb/platform"
)

const (
	// savedCrashes is the number of crashes under a request from which on they are
	// kept in the store. The first crash is not: it has usually another cause, and the
	// loss of its count costs one more crash.
	savedCrashes = 2
	// reviewInterval is the time between checks of what is to be saved.
	reviewInterval = time.Second
)

// crashRecord is the value of a record of the fleet topic: the crashes under a request.
// Its key is keyCrash and the request's fingerprint.
type crashRecord struct {
	Runs []crash.SavedRun `json:"runs"`
}

// crashesSaved is the result of writing crashRecords.
type crashesSaved struct {
	saved map[crash.Fingerprint]int // number of runs written, by request
	err   error
}

func (crashesSaved) event() {}

// applyCrashRecord applies a record of the fleet topic with the crashes under a request.
// A record without a value tells that the request is not the cause, or that its
// crashes are long ago.
func (c *control) applyCrashRecord(now time.Time, text string, value []byte) {
	f, err := crash.ParseFingerprint(text)
	if err != nil {
		c.logger.Warn("fleet: record is ignored", zap.String("key", keyCrash+text), zap.Error(err))
		return
	}
	if value == nil {
		delete(c.poison.saved, f)
		c.clear(f)
		return
	}
	var record crashRecord
	if err := json.Unmarshal(value, &record); err != nil {
		c.logger.Warn("fleet: record is ignored", zap.String("key", keyCrash+text), zap.Error(err))
		return
	}
	runs := make([]crashRun, len(record.Runs))
	for i, r := range record.Runs {
		runs[i] = newCrashRun(now, f, r.Load())
	}
	c.poison.saved[f] = len(record.Runs)
	c.recordCrashes(now, runs)
}

// reviewCrashes saves the crashes of which this VM is to keep count and that the store
// does not have, and drops records that no longer hold.
func (c *control) reviewCrashes(ctx context.Context, now time.Time) {
	if c.poison.saving || now.Before(c.poison.reviewAt) {
		return
	}
	c.poison.reviewAt = now.Add(reviewInterval)
	j := &saveJob{store: c.store, post: c.post, saved: map[crash.Fingerprint]int{}}
	for _, f := range c.unsavedCrashes() {
		runs := c.poison.tracker.Runs(f)
		if len(runs) < savedCrashes {
			runs = nil
		}
		record := platform.Record{Key: keyCrash + f.String()}
		if len(runs) > 0 {
			value := crashRecord{}
			for _, r := range runs {
				value.Runs = append(value.Runs, r.Save())
			}
			encoded, err := json.Marshal(value)
			if err != nil {
				c.logger.Error("crash: cannot encode a record", zap.Error(err))
				continue
			}
			record.Value = encoded
		}
		j.records, j.saved[f] = append(j.records, record), len(runs)
	}
	if len(j.records) > 0 {
		c.poison.saving = true
		go j.run(ctx)
	}
}

// unsavedCrashes returns the requests of which this VM keeps count and whose crashes
// differ from what the store has.
func (c *control) unsavedCrashes() []crash.Fingerprint {
	differ := map[crash.Fingerprint]bool{}
	for _, f := range c.poison.tracker.Repeated(savedCrashes) {
		differ[f] = c.poison.saved[f] < len(c.poison.tracker.Runs(f))
	}
	for f := range c.poison.saved {
		differ[f] = differ[f] || len(c.poison.tracker.Runs(f)) < savedCrashes
	}
	var list []crash.Fingerprint
	names, _ := c.liveVMs()
	for f, unsaved := range differ {
		if unsaved && slices.Contains(rank.Top(f.String(), names, tallyVMs), c.self.Name) {
			list = append(list, f)
		}
	}
	slices.Sort(list)
	return list
}

// saveJob writes crashRecords to the fleet topic.
type saveJob struct {
	store   *platform.Store
	post    func(event)
	records []platform.Record
	saved   map[crash.Fingerprint]int
}

func (j *saveJob) run(ctx context.Context) {
	err := j.store.Append(ctx, platform.FleetTopic, anyOffset, j.records...)
	j.post(crashesSaved{saved: j.saved, err: err})
}

func (c *control) noteSaved(e crashesSaved) {
	c.poison.saving = false
	if e.err != nil {
		c.logger.Info("crash: cannot save the count of a request", zap.Int("requests", len(e.saved)), zap.Error(e.err))
		return
	}
	for f, runs := range e.saved {
		c.poison.saved[f] = runs
		if runs == 0 {
			delete(c.poison.saved, f)
		}
		c.logger.Info("crash: count is saved", zap.Stringer("print", f), zap.Int("crashes", runs))
	}
}
