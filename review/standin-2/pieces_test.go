package standin

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

// checkPieces returns what is wrong with a complete stream, and whether pieces are missing. Each piece has to come once. The data tells which
// one it is, so that a wrong byte in an id alone, as the runner has sent it, is right.
func checkPieces(pieces []piece, events int) (problem string, missing bool) {
	seen := map[int]string{}
	for n := 1; n <= events; n++ {
		for _, p := range pieces {
			if p.number == n {
				seen[n] = p.runner
			}
		}
		if seen[n] == "" {
			return fmt.Sprintf("piece %d is missing", n), true
		}
	}
	clear(seen)
	for i, p := range pieces {
		if at, twice := seen[p.number]; twice {
			return fmt.Sprintf("piece %d comes twice, from %s and from %s (block %d of %d)", p.number, at, p.runner, i+1, len(pieces)), false
		}
		seen[p.number] = p.runner
	}
	return "", false
}
