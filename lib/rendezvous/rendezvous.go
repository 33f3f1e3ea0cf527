// Package rendezvous ranks members by highest random weight. Every process that
// knows the same members computes the same ranking without any message.
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the weight of a member for a key.
func Score(key, member string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(member)
	return digest.Sum64()
}

// Best returns the member with the highest weight for a key, or "" when there is none.
func Best(key string, members []string) string {
	best := ""
	var bestScore uint64
	for _, member := range members {
		score := Score(key, member)
		if best == "" || score > bestScore || (score == bestScore && member < best) {
			best = member
			bestScore = score
		}
	}
	return best
}

// Rank returns the members in descending order of weight for a key.
func Rank(key string, members []string) []string {
	type scored struct {
		member string
		score  uint64
	}
	list := make([]scored, 0, len(members))
	for _, member := range members {
		list = append(list, scored{member, Score(key, member)})
	}
	slices.SortFunc(list, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		case a.member < b.member:
			return -1
		default:
			return 1
		}
	})
	ranked := make([]string, len(list))
	for i, s := range list {
		ranked[i] = s.member
	}
	return ranked
}

// Top returns at most n members in descending order of weight for a key.
func Top(key string, members []string, n int) []string {
	ranked := Rank(key, members)
	return ranked[:min(n, len(ranked))]
}
