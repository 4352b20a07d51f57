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

// cluster simulates a log and several VMs, each of which acts as if it were
// responsible for all keys.
type cluster struct {
	t          *rapid.T
	log        []record.Record
	tables     []*keys.Table
	positions  []int
	runs       map[string]int            // number of runs, by key
	outcomes   map[string][]keys.Outcome // outcomes that callers were told, by key
	pending    map[string]string         // keys of calls without an answer, by call ID
	inProgress []map[string]keys.Key     // runs in progress, by VM and key
	now        time.Time
}

func (c *cluster) perform(vm int, actions []keys.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case keys.Append:
			// An append may be lost, and the VM does not learn whether it succeeded.
			if rapid.IntRange(0, 9).Draw(c.t, "lost") > 0 {
				c.log = append(c.log, record.Record{Offset: int64(len(c.log) + 1), Data: a.Data})
			}
		case keys.Run:
			c.runs[a.Call.Key.Text]++
			c.inProgress[vm][a.Call.Key.Text] = a.Call.Key
		case keys.Answer:
			key, ok := c.pending[a.ID]
			if !ok {
				c.t.Fatalf("call %s answered twice", a.ID)
			}
			delete(c.pending, a.ID)
			c.outcomes[key] = append(c.outcomes[key], a.Outcome)
		}
	}
}

// Several VMs serve the same keys while appends are lost and reads are delayed.
// A call runs at most once per key, a call answered with done has run, and a call
// answered with not-run has not run and never does.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cluster{t: t, runs: map[string]int{}, outcomes: map[string][]keys.Outcome{}, pending: map[string]string{}, now: start}
		for i := range 3 {
			c.tables = append(c.tables, keys.New(keys.Config{
				Boot: fmt.Sprintf("%016x", i), Partitions: 1, Lifetime: time.Minute, MaxClockSkew: time.Second, MaxKeys: 100, MaxReplyBytes: 100,
			}))
			c.positions = append(c.positions, 0)
			c.inProgress = append(c.inProgress, map[string]keys.Key{})
		}
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			c.now = c.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			c.step(step)
		}
		c.check()
	})
}

func (c *cluster) step(step int) {
	vm := rapid.IntRange(0, 2).Draw(c.t, "vm")
	table := c.tables[vm]
	switch rapid.IntRange(0, 5).Draw(c.t, "event") {
	case 0, 1:
		key := keys.NewKey(start, "", fmt.Sprintf("key-%05d", rapid.IntRange(0, 2).Draw(c.t, "key")))
		id := fmt.Sprintf("call-%d", step)
		c.pending[id] = key.Text
		c.perform(vm, table.Begin(c.now, keys.Call{ID: id, Key: key, Fingerprint: 1, Deadline: c.now.Add(2 * time.Second)}))
	case 2:
		end := rapid.IntRange(c.positions[vm], len(c.log)).Draw(c.t, "end")
		actions, errs := table.ApplyRecords(c.now, 0, c.log[c.positions[vm]:end], end == len(c.log))
		if len(errs) > 0 {
			c.t.Fatal(errs)
		}
		c.positions[vm] = end
		c.perform(vm, actions)
	case 3:
		c.perform(vm, table.StreamDown(0))
	case 4:
		c.perform(vm, table.Tick(c.now))
	case 5:
		for text, key := range c.inProgress[vm] {
			delete(c.inProgress[vm], text)
			outcome := rapid.SampledFrom([]keys.Outcome{keys.Ran, keys.Unknown}).Draw(c.t, "outcome")
			c.perform(vm, table.FinishRun(key, outcome, "", keys.Reply{Status: 200, Body: text}))
			break
		}
	}
}

func (c *cluster) check() {
	for key, outcomes := range c.outcomes {
		for _, o := range outcomes {
			if o == keys.Ran && c.runs[key] != 1 {
				c.t.Fatalf("%s answered done but ran %d times", key, c.runs[key])
			}
			if o == keys.NotRun && c.runs[key] != 0 {
				c.t.Fatalf("%s answered not-run but ran %d times", key, c.runs[key])
			}
		}
	}
	for key, runs := range c.runs {
		if runs > 1 {
			c.t.Fatalf("%s ran %d times", key, runs)
		}
	}
}

func TestParse(t *testing.T) {
	is := is.New(t)
	key := keys.NewKey(start, "0123456789abcdef", "abcdefgh")
	parsed, err := keys.Parse(key.Text)
	is.NoErr(err)
	is.Equal(parsed.Boot, "0123456789abcdef")
	is.True(parsed.CreatedAt.Equal(start))
	for _, text := range []string{"", "x", "1-short", "1-has space in", "-12345678", "12345678901234-abcdefgh", "XYZ.1-abcdefgh"} {
		_, err := keys.Parse(text)
		is.True(errors.Is(err, keys.ErrMalformed))
	}
}

// The number of stored keys and the size of stored replies are bounded, and a
// record of a newer format is reported and ignored.
func TestBounds(t *testing.T) {
	is := is.New(t)
	table := keys.New(keys.Config{Boot: "b", Partitions: 1, Lifetime: time.Minute, MaxClockSkew: time.Second, MaxKeys: 1, MaxReplyBytes: 4})
	_, errs := table.ApplyRecords(start, 0, []record.Record{{Offset: 1, Data: []byte(`{"kind":"key","format":2,"body":{}}`)}}, true)
	is.Equal(len(errs), 1)
	is.True(errors.Is(errs[0], record.ErrFormat))
	first := keys.NewKey(start, "", "key-00001")
	actions := table.Begin(start, keys.Call{ID: "1", Key: first, Deadline: start.Add(time.Minute)})
	appended := actions[0].(keys.Append)
	table.ApplyRecords(start, 0, []record.Record{{Offset: 2, Data: appended.Data}}, true)
	actions = table.Begin(start, keys.Call{ID: "2", Key: keys.NewKey(start, "", "key-00002"), FirstAttempt: true, Deadline: start.Add(time.Minute)})
	answer := actions[0].(keys.Answer)
	is.Equal(answer.Reason, keys.TableFull)
	is.Equal(answer.Outcome, keys.NotRun)
	table.FinishRun(first, keys.Ran, "", keys.Reply{Status: 200, Body: "too long to keep"})
	actions = table.Begin(start, keys.Call{ID: "3", Key: first, Deadline: start.Add(time.Minute)})
	is.Equal(actions[0].(keys.Answer).Reason, keys.ReplyNotKept)
}
