// Package rank implements rendezvous hashing (highest random weight): each key has
// a stable order of preference over the candidates, and adding or removing a
// candidate moves as few keys as possible.
package rank

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Score returns the weight of a candidate for a key, a hash of both. The candidate
// with the highest weight is the most preferred one.
func Score(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}

// Order returns the candidates sorted by preference for key, the most preferred one
// first.
func Order(key string, candidates []string) []string {
	scores := make(map[string]uint64, len(candidates))
	for _, c := range candidates {
		scores[c] = Score(key, c)
	}
	order := append([]string(nil), candidates...)
	sort.Slice(order, func(i, j int) bool {
		a, b := scores[order[i]], scores[order[j]]
		if a != b {
			return a > b
		}
		return order[i] < order[j]
	})
	return order
}

// First returns the most preferred candidate for key, or "" if there are no
// candidates.
func First(key string, candidates []string) string {
	best, bestScore := "", uint64(0)
	for _, c := range candidates {
		s := Score(key, c)
		if best == "" || s > bestScore || (s == bestScore && c < best) {
			best, bestScore = c, s
		}
	}
	return best
}

// Top returns the first count candidates in the order of preference for key, or all
// of them if there are fewer.
func Top(key string, candidates []string, count int) []string {
	type scored struct {
		name  string
		score uint64
	}
	top := make([]scored, 0, count+1)
	for _, c := range candidates {
		s := scored{name: c, score: Score(key, c)}
		i := len(top)
		for i > 0 && (top[i-1].score < s.score || (top[i-1].score == s.score && top[i-1].name > c)) {
			i--
		}
		if i >= count {
			continue
		}
		top = append(top, scored{})
		copy(top[i+1:], top[i:])
		top[i] = s
		if len(top) > count {
			top = top[:count]
		}
	}
	names := make([]string, len(top))
	for i, s := range top {
		names[i] = s.name
	}
	return names
}
