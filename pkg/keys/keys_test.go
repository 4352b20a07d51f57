package keys_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tanagerlb/tanagerlb/pkg/keys"
	"github.com/tanagerlb/tanagerlb/pkg/record"
)

var start = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

// world is a log and some VMs that all believe to keep the same keys.
type world struct {
	t      *rapid.T
	log    []record.Record
	tables []*keys.Table
	read   []int
	runs   map[string]int            // by key
	told   map[string][]keys.Outcome // by key
	open   map[string]string         // key of calls without an answer
	going  []map[string]keys.Key     // runs in progress, by VM
	now    time.Time
}

func (w *world) take(vm int, actions []keys.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case keys.Append:
			// The answer to an append may be lost, or the append itself.
			if rapid.IntRange(0, 9).Draw(w.t, "lost") > 0 {
				w.log = append(w.log, record.Record{Offset: int64(len(w.log) + 1), Data: a.Data})
			}
		case keys.Run:
			w.runs[a.Call.Key.Text]++
			w.going[vm][a.Call.Key.Text] = a.Call.Key
		case keys.Answer:
			key, ok := w.open[a.ID]
			if !ok {
				w.t.Fatalf("second answer to %s", a.ID)
			}
			delete(w.open, a.ID)
			w.told[key] = append(w.told[key], a.Outcome)
		}
	}
}

// Whatever VMs believe of each other, and whatever is lost or late: a key runs
// at most once, what was answered done ran, and what was answered not-run did
// not run and never does.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, runs: map[string]int{}, told: map[string][]keys.Outcome{}, open: map[string]string{}, now: start}
		for i := range 3 {
			w.tables = append(w.tables, keys.New(keys.Config{
				Boot: fmt.Sprintf("%016x", i), Partitions: 1, Life: time.Minute, Skew: time.Second, Most: 100, Keep: 100,
			}))
			w.read = append(w.read, 0)
			w.going = append(w.going, map[string]keys.Key{})
		}
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			w.step(step)
		}
		w.check()
	})
}

func (w *world) step(step int) {
	vm := rapid.IntRange(0, 2).Draw(w.t, "vm")
	table := w.tables[vm]
	switch rapid.IntRange(0, 5).Draw(w.t, "event") {
	case 0, 1:
		key := keys.Make(start, "", fmt.Sprintf("key-%05d", rapid.IntRange(0, 2).Draw(w.t, "key")))
		id := fmt.Sprintf("call-%d", step)
		w.open[id] = key.Text
		w.take(vm, table.Begin(w.now, keys.Call{ID: id, Key: key, Print: 1, Deadline: w.now.Add(2 * time.Second)}))
	case 2:
		end := rapid.IntRange(w.read[vm], len(w.log)).Draw(w.t, "end")
		actions, errs := table.Read(w.now, 0, w.log[w.read[vm]:end], end == len(w.log))
		if len(errs) > 0 {
			w.t.Fatal(errs)
		}
		w.read[vm] = end
		w.take(vm, actions)
	case 3:
		w.take(vm, table.Down(0))
	case 4:
		w.take(vm, table.Tick(w.now))
	case 5:
		for text, key := range w.going[vm] {
			delete(w.going[vm], text)
			outcome := rapid.SampledFrom([]keys.Outcome{keys.Ran, keys.Unknown}).Draw(w.t, "outcome")
			w.take(vm, table.Ended(key, outcome, "", keys.Reply{Status: 200, Body: text}))
			break
		}
	}
}

func (w *world) check() {
	for key, told := range w.told {
		for _, o := range told {
			if o == keys.Ran && w.runs[key] != 1 {
				w.t.Fatalf("%s told done, ran %d times", key, w.runs[key])
			}
			if o == keys.NotRun && w.runs[key] != 0 {
				w.t.Fatalf("%s told not-run, ran %d times", key, w.runs[key])
			}
		}
	}
	for key, runs := range w.runs {
		if runs > 1 {
			w.t.Fatalf("%s ran %d times", key, runs)
		}
	}
}

func TestParse(t *testing.T) {
	is := is.New(t)
	made := keys.Make(start, "0123456789abcdef", "abcdefgh")
	parsed, err := keys.Parse(made.Text)
	is.NoErr(err)
	is.Equal(parsed.Boot, "0123456789abcdef")
	is.True(parsed.Made.Equal(start))
	for _, text := range []string{"", "x", "1-short", "1-has space in", "-12345678", "12345678901234-abcdefgh", "XYZ.1-abcdefgh"} {
		_, err := keys.Parse(text)
		is.True(errors.Is(err, keys.ErrMalformed))
	}
}

// Memory is bounded, and a record of a newer format is told and ignored.
func TestBounds(t *testing.T) {
	is := is.New(t)
	table := keys.New(keys.Config{Boot: "b", Partitions: 1, Life: time.Minute, Skew: time.Second, Most: 1, Keep: 4})
	_, errs := table.Read(start, 0, []record.Record{{Offset: 1, Data: []byte(`{"kind":"key","format":2,"body":{}}`)}}, true)
	is.Equal(len(errs), 1)
	is.True(errors.Is(errs[0], record.ErrFormat))
	first := keys.Make(start, "", "key-00001")
	actions := table.Begin(start, keys.Call{ID: "1", Key: first, Deadline: start.Add(time.Minute)})
	appended := actions[0].(keys.Append)
	table.Read(start, 0, []record.Record{{Offset: 2, Data: appended.Data}}, true)
	actions = table.Begin(start, keys.Call{ID: "2", Key: keys.Make(start, "", "key-00002"), First: true, Deadline: start.Add(time.Minute)})
	answer := actions[0].(keys.Answer)
	is.Equal(answer.Reason, keys.Full)
	is.Equal(answer.Outcome, keys.NotRun)
	table.Ended(first, keys.Ran, "", keys.Reply{Status: 200, Body: "too long to keep"})
	actions = table.Begin(start, keys.Call{ID: "3", Key: first, Deadline: start.Add(time.Minute)})
	is.Equal(actions[0].(keys.Answer).Reason, keys.TooLong)
}
