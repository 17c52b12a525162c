// Package rendezvous implements rendezvous hashing (highest random weight): every process with the same set of candidates
// ranks them in the same order for a key, and removing a candidate moves only the keys that it held.
//
// # Usage
//
//	order := rendezvous.Order("growers/lot-17", vms)
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

type scored[T ~string] struct {
	candidate T
	score     uint64
}

// Score returns the weight of a candidate for a key.
func Score[T ~string](key string, candidate T) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(candidate))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// compare sorts by descending score; ties are broken by name.
func compare[T ~string](a, b scored[T]) int {
	if a.score != b.score {
		return cmp.Compare(b.score, a.score)
	}
	return cmp.Compare(a.candidate, b.candidate)
}

// Order returns the candidates by descending weight for the key. The input is not modified.
func Order[T ~string](key string, candidates []T) []T {
	rows := make([]scored[T], 0, len(candidates))
	for _, c := range candidates {
		rows = append(rows, scored[T]{c, Score(key, c)})
	}
	slices.SortFunc(rows, compare[T])
	out := make([]T, 0, len(rows))
	for _, r := range rows {
		out = append(out, r.candidate)
	}
	return out
}

// Top returns at most n candidates of the highest weight, in descending order. It inserts into a sorted slice, so n should
// be small.
func Top[T ~string](key string, candidates []T, n int) []T {
	rows := make([]scored[T], 0, n+1)
	for _, c := range candidates {
		row := scored[T]{c, Score(key, c)}
		if len(rows) == n && compare(row, rows[n-1]) >= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(rows, row, compare[T])
		rows = slices.Insert(rows, at, row)
		rows = rows[:min(len(rows), n)]
	}
	out := make([]T, 0, len(rows))
	for _, r := range rows {
		out = append(out, r.candidate)
	}
	return out
}
