package agent

import (
	"context"
	"time"

	"bilberrylug.dev/core/convert"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/journal"
	"bilberrylug.dev/core/wire"
)

// claimTimeout bounds the search for a journal.
const claimTimeout = 600 * time.Millisecond

// ClaimedJournal is a journal that a witness gave to this router.
type ClaimedJournal struct {
	Witness ids.VM
	Journal journal.Journal
}

// Claim asks several witnesses at once and returns the longest journal that was found.
func (l *Client) Claim(ctx context.Context, witnesses []ids.VM, c journal.Claim) (ClaimedJournal, bool) {
	results := make(chan *ClaimedJournal, len(witnesses))
	g := group.New(ctx)
	defer g.Stop()
	for _, vm := range witnesses {
		g.Go(func(ctx context.Context) { results <- l.claimAt(ctx, vm, c) })
	}
	var best *ClaimedJournal
	for range witnesses {
		if r := <-results; r != nil && (best == nil || longer(r.Journal, best.Journal)) {
			best = r
		}
	}
	if best == nil {
		return ClaimedJournal{}, false
	}
	return *best, true
}

func longer(a, b journal.Journal) bool {
	if a.Finished() != b.Finished() {
		return a.Finished()
	}
	return len(a.Tokens) > len(b.Tokens)
}

func (l *Client) claimAt(ctx context.Context, vm ids.VM, c journal.Claim) *ClaimedJournal {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	conn, err := l.conn(vm)
	if err != nil {
		return nil
	}
	defer func() { _ = conn.Close() }()
	r, err := wire.NewDRPCAgentClient(conn).Claim(ctx, &wire.ClaimRequest{
		Header: l.header(), Workspace: string(c.Key.Workspace), RequestId: string(c.Key.Request), Owner: string(c.Owner),
		MinLength: c.MinLength, Digest: uint64(c.Digest), HasDigest: c.HasDigest,
		BodyHash: c.BodyHash,
	})
	if err != nil || !r.GetFound() {
		return nil
	}
	return &ClaimedJournal{vm, journal.Journal{
		Key: c.Key, Attempt: ids.Attempt(r.GetAttempt()), Owner: c.Owner, Prompt: convert.PromptFromWire(r.GetPrompt()),
		BodyHash: r.GetBodyHash(), Tokens: r.GetTokens(), FinishReason: r.GetFinishReason(),
	}}
}
