package agent

import (
	"context"
	"time"

	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/journal"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/core/wireconv"
)

// claimTimeout bounds the claim request to each witness.
const claimTimeout = 600 * time.Millisecond

// ClaimedJournal is a journal that this router has claimed and the witness that returned it.
type ClaimedJournal struct {
	Witness ids.VM
	Journal journal.Journal
}

// Claim queries the witnesses concurrently and returns the most complete journal: a finished one, or else the longest. It
// returns false if no witness has the journal.
func (c *Client) Claim(ctx context.Context, witnesses []ids.VM, claim journal.Claim) (ClaimedJournal, bool) {
	results := make(chan *ClaimedJournal, len(witnesses))
	g := group.New(ctx)
	defer g.Stop()
	for _, vm := range witnesses {
		g.Go(func(ctx context.Context) {
			results <- group.Try(c.Log.Panic, nil, func() *ClaimedJournal { return c.claimFrom(ctx, vm, claim) })
		})
	}
	var best *ClaimedJournal
	for range witnesses {
		if r := <-results; r != nil && (best == nil || moreComplete(r.Journal, best.Journal)) {
			best = r
		}
	}
	if best == nil {
		return ClaimedJournal{}, false
	}
	return *best, true
}

func moreComplete(a, b journal.Journal) bool {
	if a.Finished() != b.Finished() {
		return a.Finished()
	}
	return len(a.Tokens) > len(b.Tokens)
}

func (c *Client) claimFrom(ctx context.Context, vm ids.VM, claim journal.Claim) *ClaimedJournal {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	conn, err := c.conn(vm)
	if err != nil {
		return nil
	}
	defer func() { _ = conn.Close() }()
	reply, err := wire.NewDRPCAgentClient(conn).Claim(ctx, &wire.ClaimRequest{
		Header: c.header(), Workspace: string(claim.Key.Workspace), RequestId: string(claim.Key.Request),
		Owner: string(claim.Owner), MinLength: claim.MinLength, Digest: uint64(claim.Digest), HasDigest: claim.HasDigest,
		BodyHash: claim.BodyHash,
	})
	if err != nil || !reply.GetFound() {
		return nil
	}
	return &ClaimedJournal{vm, journal.Journal{
		Key: claim.Key, Attempt: ids.Attempt(reply.GetAttempt()), Owner: claim.Owner, Prompt: wireconv.PromptFromWire(reply.GetPrompt()),
		BodyHash: reply.GetBodyHash(), Tokens: reply.GetTokens(), FinishReason: reply.GetFinishReason(),
	}}
}
