// Package reuse decides whether a prompt is sent to an engine that still holds its
// beginning in its KV cache. Table records which engines hold which beginnings of
// prompts, as far as one VM knows. Order weighs the time that is saved at such an
// engine against the wait there.
package reuse

import (
	"container/list"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerlb/tanagerlb/pkg/call"
)

const (
	// maxPrefixes bounds the beginnings of prompts in a Table. With maxHolders
	// engines each, they take about 10 MB.
	maxPrefixes = 16_000
	// maxHolders bounds the engines that are recorded for one beginning.
	maxHolders = 8
	// maxParts bounds the parts of one prompt that are recorded, so that one caller
	// with very many parts does not replace the prefixes of all others.
	maxParts = 16
	// accuracyWeight is the weight of one reply in the moving average of how much of
	// a prompt its home engine holds.
	accuracyWeight = 0.05
)

// Prompt is a prompt for one adapter of a base model.
type Prompt struct {
	prefixes  []prefix // beginnings that other prompts may share; the first is empty and stands for the adapter
	Tokens    int      // tokens of the whole prompt
	MaxTokens int      // maximum number of tokens to generate
}

// prefix is the beginning of a prompt. The hash covers the base model, the adapter
// and all parts up to its end.
type prefix struct {
	hash   uint64
	tokens int
}

// NewPrompt returns a prompt of which all parts but the last may be shared.
func NewPrompt(model, adapter string, tokens, maxTokens int, parts []call.Part) Prompt {
	shared := parts[:min(max(len(parts)-1, 0), maxParts)]
	p := Prompt{Tokens: tokens, MaxTokens: maxTokens, prefixes: make([]prefix, 0, len(shared)+1)}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(model)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(adapter)
	_, _ = d.Write([]byte{0})
	next := prefix{hash: d.Sum64()}
	p.prefixes = append(p.prefixes, next)
	var id [8]byte
	for _, part := range shared {
		binary.LittleEndian.PutUint64(id[:], part.ID)
		_, _ = d.Write(id[:])
		next.hash, next.tokens = d.Sum64(), min(next.tokens+part.Tokens, tokens)
		p.prefixes = append(p.prefixes, next)
	}
	return p
}

// Shared returns the number of tokens that other prompts may share.
func (p Prompt) Shared() int { return p.prefixes[len(p.prefixes)-1].tokens }

// Key identifies the shared beginning of the prompt.
func (p Prompt) Key() uint64 { return p.prefixes[len(p.prefixes)-1].hash }

// State identifies the weights with which an engine has read a prompt. An engine
// whose State differs has lost what it held.
type State struct {
	Engine  string
	Run     int64 // start time of the engine
	Weights int64 // version of the base model
	Adapter int64 // version of the adapter
}

// Holding is what an engine holds of a prompt.
type Holding struct {
	Engine string
	Tokens int           // tokens of the longest beginning that it holds
	Age    time.Duration // how long ago the least recent part of it was confirmed
	Loaded time.Duration // how long ago the engine is known to have had the adapter
}

// Table records which engines hold which beginnings of prompts. It is not safe for
// concurrent use.
type Table struct {
	entries  map[uint64]*list.Element
	lru      *list.List // list of *entry, the most recently recorded first
	accuracy float64
}

type entry struct {
	hash    uint64
	holders []holder
}

type holder struct {
	State
	at time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[uint64]*list.Element{}, lru: list.New(), accuracy: firstAccuracy}
}

// firstAccuracy is assumed before the first reply about a home engine.
const firstAccuracy = 0.5

// Len returns the number of beginnings in the table.
func (t *Table) Len() int { return t.lru.Len() }

// Read records that an engine has read a whole prompt.
func (t *Table) Read(now time.Time, p Prompt, s State) { t.record(now, p.prefixes, s) }

// Told records that an engine's holder says how many tokens of the prompt's
// beginning the engine holds.
func (t *Table) Told(now time.Time, p Prompt, s State, tokens int) {
	held := 1 // the empty beginning, which stands for the adapter, is not refuted
	for held < len(p.prefixes) && p.prefixes[held].tokens <= tokens {
		held++
	}
	if held > 1 {
		t.record(now, p.prefixes[:held], s)
	}
	for _, x := range p.prefixes[held:] {
		if e, ok := t.entries[x.hash]; ok {
			t.drop(e, s.Engine)
		}
	}
}

// ToldOfHome records how many tokens of the prompt's beginning its home engine
// holds. The home is the engine to which all VMs send a beginning if they know of no
// engine that holds it.
func (t *Table) ToldOfHome(p Prompt, tokens int) {
	if shared := p.Shared(); shared > 0 {
		t.accuracy += accuracyWeight * (min(float64(tokens)/float64(shared), 1) - t.accuracy)
	}
}

// Accuracy returns the share of a prompt's beginning that its home engine holds on
// average.
func (t *Table) Accuracy() float64 { return t.accuracy }

func (t *Table) record(now time.Time, prefixes []prefix, s State) {
	for _, x := range prefixes {
		e, ok := t.entries[x.hash]
		if !ok {
			e = t.lru.PushFront(&entry{hash: x.hash})
			t.entries[x.hash] = e
		}
		t.lru.MoveToFront(e)
		next := holder{State: s, at: now}
		held := valueOf(e)
		if i := held.index(s.Engine); i >= 0 {
			held.holders[i] = next
			continue
		}
		if len(held.holders) < maxHolders {
			held.holders = append(held.holders, next)
			continue
		}
		oldest := 0
		for i, h := range held.holders {
			if h.at.Before(held.holders[oldest].at) {
				oldest = i
			}
		}
		held.holders[oldest] = next
	}
	for t.lru.Len() > maxPrefixes {
		t.remove(t.lru.Back())
	}
}

func (t *Table) remove(e *list.Element) {
	delete(t.entries, valueOf(e).hash)
	t.lru.Remove(e)
}

// drop removes an engine from an entry, and the entry if no engine is left.
func (t *Table) drop(e *list.Element, engine string) {
	held := valueOf(e)
	if i := held.index(engine); i >= 0 {
		held.holders = slices.Delete(held.holders, i, i+1)
	}
	if len(held.holders) == 0 {
		t.remove(e)
	}
}

func valueOf(e *list.Element) *entry { return e.Value.(*entry) } //nolint:forcetypeassert // the list holds nothing else

func (e *entry) index(engine string) int {
	return slices.IndexFunc(e.holders, func(h holder) bool { return h.Engine == engine })
}

// Holdings returns what engines hold of a prompt. A part counts only if the engine
// holds all parts before it. The function current returns the present state of an
// engine, and false if the engine cannot be used; an engine whose state has changed
// is forgotten. The newest adapter version that the caller knows of counts as
// current, so that nothing is expected of an engine that has yet to load it.
func (t *Table) Holdings(now time.Time, p Prompt, current func(engine string) (State, bool)) []Holding {
	root, ok := t.entries[p.prefixes[0].hash]
	if !ok {
		return nil
	}
	holdings := make([]Holding, 0, maxHolders)
	for _, h := range slices.Clone(valueOf(root).holders) {
		s, usable := current(h.Engine)
		if !usable {
			continue
		}
		if !h.same(s) {
			t.drop(root, h.Engine)
			continue
		}
		holding := Holding{Engine: h.Engine, Loaded: now.Sub(h.at)}
		for _, x := range p.prefixes[1:] {
			at, held := t.heldAt(x.hash, s)
			if !held {
				break
			}
			holding.Tokens, holding.Age = x.tokens, max(holding.Age, now.Sub(at))
		}
		holdings = append(holdings, holding)
	}
	return holdings
}

// heldAt returns when an engine was last known to hold a beginning.
func (t *Table) heldAt(hash uint64, s State) (time.Time, bool) {
	e, ok := t.entries[hash]
	if !ok {
		return time.Time{}, false
	}
	i := valueOf(e).index(s.Engine)
	if i < 0 || !valueOf(e).holders[i].same(s) {
		return time.Time{}, false
	}
	return valueOf(e).holders[i].at, true
}

// same reports whether what an engine has read is still valid in state s.
func (h holder) same(s State) bool {
	return h.Run == s.Run && h.Weights == s.Weights && h.Adapter >= s.Adapter
}
