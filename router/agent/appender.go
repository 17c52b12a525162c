package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/generation"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/journal"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/core/wireconv"
)

const (
	// appendTimeout is the time without a reply after which a witness is considered lost.
	appendTimeout = 700 * time.Millisecond
	// appendLinger is the pause between two calls to one witness, during which entries are batched. The first entry after
	// an idle period is sent immediately.
	appendLinger = 2 * time.Millisecond
	// maxBatchEntries bounds one append call.
	maxBatchEntries = 512
)

// pendingEntry is an entry to be sent and the function that receives its result.
type pendingEntry struct {
	generation.Append

	report func(generation.Event)
}

// appender sends journal entries to one witness, one call at a time. Entries that arrive during a call are sent with the
// next one.
type appender struct {
	client *Client
	vm     ids.VM

	mu      sync.Mutex
	pending []pendingEntry
	running bool
}

// Append sends an entry to its witness asynchronously and passes the result to report.
func (c *Client) Append(cmd generation.Append, report func(generation.Event)) {
	c.mu.Lock()
	a, known := c.appenders[cmd.Witness]
	if !known {
		a = &appender{client: c, vm: cmd.Witness}
		c.appenders[cmd.Witness] = a
	}
	c.mu.Unlock()
	a.enqueue(pendingEntry{cmd, report})
}

func (a *appender) enqueue(p pendingEntry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending = append(a.pending, p)
	if a.running {
		return
	}
	a.running = true
	a.client.Group.Go(a.run)
}

// nextBatch removes and returns the next entries to send. An empty batch marks the appender as stopped.
func (a *appender) nextBatch() []pendingEntry {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := min(len(a.pending), maxBatchEntries)
	batch := a.pending[:n:n]
	a.pending = a.pending[n:]
	if n == 0 {
		a.running = false
	}
	return batch
}

func (a *appender) run(ctx context.Context) {
	for batch := a.nextBatch(); len(batch) > 0; batch = a.nextBatch() {
		reply, err := a.send(ctx, batch)
		if err != nil {
			a.client.Log.Write(event.WitnessLost, "witness", string(a.vm), "error", err.Error())
		}
		for i, p := range batch {
			p.report(appendResult(p.Append, reply, i, err))
		}
		a.client.Clock.Sleep(appendLinger)
	}
}

// appendResult returns the event for the i-th entry of a batch.
func appendResult(cmd generation.Append, reply *wire.JournalReply, i int, err error) generation.Event {
	if err != nil || i >= len(reply.GetResults()) {
		return generation.WitnessLost{Append: cmd.Number}
	}
	result := reply.GetResults()[i]
	return generation.WitnessAnswered{
		Append: cmd.Number, Length: result.GetLength(), Final: cmd.Entry.FinishReason != "", Refusal: journal.Refusal(result.GetRefusal()),
	}
}

func (a *appender) send(ctx context.Context, batch []pendingEntry) (*wire.JournalReply, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	conn, err := a.client.conn(a.vm)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	entries := make([]*wire.JournalEntry, 0, len(batch))
	for _, p := range batch {
		entries = append(entries, wireconv.EntryToWire(p.Entry))
	}
	reply, err := wire.NewDRPCAgentClient(conn).Append(ctx, &wire.JournalRequest{Header: a.client.header(), Entries: entries})
	if err != nil {
		return nil, fmt.Errorf("append: %w", err)
	}
	return reply, nil
}
