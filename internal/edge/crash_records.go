package edge

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerlb/tanagerlb/pkg/crash"
	"github.com/tanagerlb/tanagerlb/platform"
)

const (
	// savedCrashes is the number of crashes under a cause from which on they are
	// kept in the store. The first crash is not: it has usually another cause, and the
	// loss of its count costs one more crash.
	savedCrashes = 2
	// reviewInterval is the time between checks of what is to be saved.
	reviewInterval = time.Second
	// saveGrace is how long the store may lack crashes under a cause before a VM saves
	// them that is not to save them: two reads of the fleet topic.
	saveGrace = 2 * fleetInterval
	// saveBackoff is the time between two attempts to save while the store does not
	// respond.
	saveBackoff = 2 * time.Second
)

// crashRecord is the value of a record of the fleet topic: the crashes under a cause.
// Its key is keyCrash and the cause's fingerprint.
type crashRecord struct {
	Runs []crash.SavedRun `json:"runs"`
}

// crashesSaved is the result of writing crashRecords.
type crashesSaved struct {
	era   int64                             // era of the store in which they were written
	saved map[crash.Fingerprint][]crash.Run // runs written, by cause
	err   error
}

func (crashesSaved) event() {}

// applyCrashRecord applies a record of the fleet topic with the crashes under a cause.
// A record without a value tells that the cause is not to blame, or that its crashes are
// long ago.
func (c *control) applyCrashRecord(now time.Time, text string, value []byte) {
	f, err := crash.ParseFingerprint(text)
	if err != nil {
		c.logger.Warn("fleet: record is ignored", zap.String("key", keyCrash+text), zap.Error(err))
		return
	}
	if value == nil {
		delete(c.poison.saved, f)
		c.clear(now, f, zap.String("learned", "store"))
		return
	}
	var record crashRecord
	if err := json.Unmarshal(value, &record); err != nil {
		c.logger.Warn("fleet: record is ignored", zap.String("key", keyCrash+text), zap.Error(err))
		return
	}
	saved := make([]crash.Run, len(record.Runs))
	for i, r := range record.Runs {
		saved[i] = r.Load()
	}
	c.poison.saved[f] = saved
	c.recordCrashes(now, newCrashRuns(now, f, saved))
}

// reviewCrashes saves the crashes that the store does not have, and drops records that no
// longer hold.
func (c *control) reviewCrashes(ctx context.Context, now time.Time) {
	if c.poison.saving || now.Before(c.poison.reviewAt) {
		return
	}
	c.poison.reviewAt = now.Add(reviewInterval)
	j := &saveJob{store: c.store, post: c.post, saved: map[crash.Fingerprint][]crash.Run{}}
	for _, f := range c.unsavedCrashes(now) {
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
		j.records, j.saved[f] = append(j.records, record), runs
	}
	if len(j.records) > 0 {
		c.poison.saving = true
		go j.run(ctx)
	}
}

// unsavedCrashes returns the causes whose crashes differ from what the store has, and
// that this VM is to save or no other has saved for a while.
func (c *control) unsavedCrashes(now time.Time) []crash.Fingerprint {
	since := map[crash.Fingerprint]time.Time{}
	for _, f := range c.poison.tracker.Repeated(savedCrashes) {
		if len(c.poison.tracker.Unknown(f, c.poison.saved[f])) > 0 {
			since[f] = now
		}
	}
	for f := range c.poison.saved {
		if len(c.poison.tracker.Runs(f)) < savedCrashes {
			since[f] = now
		}
	}
	var list []crash.Fingerprint
	for f := range since {
		if before, ok := c.poison.unsaved[f]; ok {
			since[f] = before
		}
		if now.Sub(since[f]) >= saveGrace || c.savesCrashes(f) {
			list = append(list, f)
		}
	}
	c.poison.unsaved = since
	slices.Sort(list)
	return list
}

// saveJob writes crashRecords to the fleet topic.
type saveJob struct {
	store   *platform.Store
	post    func(event)
	records []platform.Record
	saved   map[crash.Fingerprint][]crash.Run
}

func (j *saveJob) run(ctx context.Context) {
	era, err := j.store.Append(ctx, platform.FleetTopic, anyOffset, j.records...)
	j.post(crashesSaved{era: era, saved: j.saved, err: err})
}

func (c *control) noteSaved(now time.Time, e crashesSaved) {
	c.poison.saving = false
	if e.err != nil {
		c.poison.reviewAt = now.Add(saveBackoff)
		c.logger.Info("crash: cannot save counts", zap.Int("causes", len(e.saved)), zap.Error(e.err))
		return
	}
	c.noteEra(now, e.era, "append")
	if e.era != c.storeEra.newest {
		return // the store has come back from a copy that lacks them
	}
	for f, runs := range e.saved {
		c.poison.saved[f] = runs
		if len(runs) == 0 {
			delete(c.poison.saved, f)
		}
		c.logger.Info("crash: count is saved", zap.Stringer("print", f), zap.Int("crashes", len(runs)))
	}
}
