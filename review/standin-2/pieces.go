package main

import (
	"fmt"
	"strings"
)

// piece is a block of a stream as a client reads it.
type piece struct {
	// id is that of the event, zero if no line of the block tells it.
	id int
	// runner and number are what the data says: which runner has made which piece.
	runner string
	number int
}

// parsePieces splits the body of a stream into its pieces.
func parsePieces(body string) []piece {
	var out []piece
	for _, block := range strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n") {
		var p piece
		for _, line := range strings.Split(block, "\n") {
			if v, found := strings.CutPrefix(line, "id: "); found {
				_, _ = fmt.Sscan(v, &p.id)
			}
			if v, found := strings.CutPrefix(line, "data: "); found {
				_, _ = fmt.Sscan(v, &p.runner, &p.number)
			}
		}
		out = append(out, p)
	}
	return out
}

// runsOf counts the runs that the pieces come from.
func runsOf(pieces []piece) int {
	runs := 0
	last := ""
	for _, p := range pieces {
		if p.runner != last {
			runs++
			last = p.runner
		}
	}
	return runs
}

// checkPieces returns what is wrong with a complete stream. Each piece has to come once, in order. One runner's own answer, as it has sent
// it to its end, is right whatever it holds.
func checkPieces(pieces []piece, events int) string {
	if len(pieces) == events && runsOf(pieces) == 1 {
		return ""
	}
	seen := map[int]string{}
	for i, p := range pieces {
		if at, twice := seen[p.number]; twice {
			return fmt.Sprintf("piece %d comes twice, from %s and from %s (block %d of %d)", p.number, at, p.runner, i+1, len(pieces))
		}
		seen[p.number] = p.runner
	}
	for n := 1; n <= events; n++ {
		if seen[n] == "" {
			return fmt.Sprintf("piece %d is missing", n)
		}
	}
	return ""
}
