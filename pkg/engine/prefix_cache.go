package engine

import (
	"container/list"

	"github.com/tanagerlb/tanagerlb/pkg/call"
)

// prefixCache estimates which prompt prefixes are in an engine's KV cache: those
// of the most recent prompts, up to prefixCacheShare of the cache's capacity. A part
// of a prompt is cached for one adapter and can be reused only if all parts before
// it are the same.
type prefixCache struct {
	capacity int // tokens
	size     int // tokens
	parts    map[prefix]*list.Element
	lru      *list.List // list of *cachedPart, the most recently used first
}

// prefix identifies the beginning of a prompt for one adapter: hash covers a part
// and all parts before it.
type prefix struct {
	name Name
	hash uint64
}

type cachedPart struct {
	prefix prefix
	tokens int
}

// prefixCacheShare is the share of an engine's KV cache that is assumed to hold
// cached prefixes; running requests take the rest. It is only an estimate: how much
// requests may reserve is limited by kvCacheShare alone.
const prefixCacheShare = 0.5

func newPrefixCache(kvCapacity int) *prefixCache {
	return &prefixCache{capacity: int(prefixCacheShare * float64(kvCapacity)), parts: map[prefix]*list.Element{}, lru: list.New()}
}

// extendHash extends the hash of a prefix by the id of a part. It works like
// FNV-1a, but takes the whole id at once instead of single bytes.
func extendHash(hash, part uint64) uint64 {
	const prime = 1099511628211
	return (hash ^ part) * prime
}

// uncached returns the number of prompt tokens that have to be prefilled, at least 1.
func (p *prefixCache) uncached(n Name, promptTokens int, parts []call.Part) int {
	hash := uint64(len(n.Adapter))
	for _, part := range parts {
		hash = extendHash(hash, part.ID)
		if _, ok := p.parts[prefix{n, hash}]; !ok {
			break
		}
		promptTokens -= part.Tokens
	}
	return max(promptTokens, 1)
}

// add records that a prompt was prefilled. The last part of the prompt is not
// cached, as no other request shares it.
func (p *prefixCache) add(n Name, parts []call.Part) {
	hash := uint64(len(n.Adapter))
	for i, part := range parts {
		hash = extendHash(hash, part.ID)
		if i == len(parts)-1 {
			break
		}
		key := prefix{n, hash}
		if e, ok := p.parts[key]; ok {
			p.lru.MoveToFront(e)
			continue
		}
		p.parts[key] = p.lru.PushFront(&cachedPart{prefix: key, tokens: part.Tokens})
		p.size += part.Tokens
	}
	for p.size > p.capacity && p.lru.Len() > 0 {
		p.remove(p.lru.Back())
	}
}

func (p *prefixCache) remove(e *list.Element) {
	part := p.lru.Remove(e).(*cachedPart) //nolint:forcetypeassert // the list holds nothing else
	p.size -= part.tokens
	delete(p.parts, part.prefix)
}

// forget removes what was read with an adapter whose version is replaced.
func (p *prefixCache) forget(n Name) {
	for key, e := range p.parts {
		if key.name == n {
			p.remove(e)
		}
	}
}

// Memory is what a holder tells of an engine's KV cache to the sender of a request.
type Memory struct {
	Unread   int     // tokens of the request's prompt that have to be read
	Rate     float64 // prompt tokens that the engine reads per millisecond
	Reserved int     // tokens that the requests in flight have reserved
}

// Memory returns the state of the KV cache for a prompt.
func (s *Scheduler) Memory(n Name, promptTokens int, parts []call.Part) Memory {
	return Memory{Unread: s.prefixes.uncached(n, promptTokens, parts), Rate: prefillRate / s.slowdown, Reserved: s.reservedTokens}
}
