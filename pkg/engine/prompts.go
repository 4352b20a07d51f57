package engine

import (
	"container/list"

	"github.com/tanagerlb/tanagerlb/pkg/call"
)

// prompts estimates which parts of prompts an engine keeps: those that were
// read last, as far as its memory goes. A part is kept for one adapter and only
// of use after the same parts before it.
type prompts struct {
	room  int // tokens
	held  int // tokens
	parts map[chain]*list.Element
	order *list.List // of *kept, the most recently read first
}

// chain names a part with all parts before it, for one adapter.
type chain struct {
	name Name
	hash uint64
}

type kept struct {
	chain  chain
	tokens int
}

// keptShare is the share of an engine's memory that is assumed to hold kept
// parts; running requests take the rest.
const keptShare = 0.5

func newPrompts(memory int) *prompts {
	return &prompts{room: int(keptShare * float64(memory)), parts: map[chain]*list.Element{}, order: list.New()}
}

// step extends the hash of a chain by a part, as FNV-1a does by a word.
func step(hash, part uint64) uint64 {
	const prime = 1099511628211
	return (hash ^ part) * prime
}

// unread returns the tokens of a prompt that have to be read.
func (p *prompts) unread(n Name, prompt int, parts []call.Part) int {
	hash := uint64(len(n.Adapter))
	for _, part := range parts {
		hash = step(hash, part.ID)
		if _, ok := p.parts[chain{n, hash}]; !ok {
			break
		}
		prompt -= part.Tokens
	}
	return max(prompt, 1)
}

// keep takes that a prompt was read. Its last part is its own.
func (p *prompts) keep(n Name, parts []call.Part) {
	hash := uint64(len(n.Adapter))
	for i, part := range parts {
		hash = step(hash, part.ID)
		if i == len(parts)-1 {
			break
		}
		c := chain{n, hash}
		if e, ok := p.parts[c]; ok {
			p.order.MoveToFront(e)
			continue
		}
		p.parts[c] = p.order.PushFront(&kept{chain: c, tokens: part.Tokens})
		p.held += part.Tokens
	}
	for p.held > p.room && p.order.Len() > 0 {
		last := p.order.Remove(p.order.Back()).(*kept) //nolint:forcetypeassert // the list holds nothing else
		p.held -= last.tokens
		delete(p.parts, last.chain)
	}
}
