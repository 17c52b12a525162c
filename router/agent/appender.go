package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"bilberrylug.dev/core/convert"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/generation"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/journal"
	"bilberrylug.dev/core/wire"
)

const (
	// appendTimeout is the time without an answer after which a witness counts as lost.
	appendTimeout = 700 * time.Millisecond
	// appendLinger is the time between two calls to one witness, in which entries gather. The first entry after a pause
	// goes at once.
	appendLinger = 2 * time.Millisecond
	// maxBatchEntries bounds one append call.
	maxBatchEntries = 512
)

type pendingEntry struct {
	generation.Append

	report func(generation.Event)
}

// appender sends the entries for one witness, one call at a time; what arrives meanwhile goes in the next call.
type appender struct {
	links *Client
	vm    ids.VM

	mu      sync.Mutex
	pending []pendingEntry
	busy    bool
}

// Append sends an entry to a witness and reports the answer.
func (l *Client) Append(c generation.Append, report func(generation.Event)) {
	l.mu.Lock()
	a, known := l.appenders[c.Witness]
	if !known {
		a = &appender{links: l, vm: c.Witness}
		l.appenders[c.Witness] = a
	}
	l.mu.Unlock()
	a.add(pendingEntry{c, report})
}

func (a *appender) add(p pendingEntry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending = append(a.pending, p)
	if a.busy {
		return
	}
	a.busy = true
	a.links.Group.Go(a.run)
}

func (a *appender) take() []pendingEntry {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := min(len(a.pending), maxBatchEntries)
	batch := a.pending[:n:n]
	a.pending = a.pending[n:]
	if n == 0 {
		a.busy = false
	}
	return batch
}

func (a *appender) run(ctx context.Context) {
	for batch := a.take(); len(batch) > 0; batch = a.take() {
		reply, err := a.send(ctx, batch)
		if err != nil {
			a.links.Log.Write(event.WitnessLost, "witness", string(a.vm), "error", err.Error())
		}
		for i, p := range batch {
			p.report(answer(p.Append, reply, i, err))
		}
		a.links.Clock.Sleep(appendLinger)
	}
}

func answer(c generation.Append, reply *wire.JournalReply, i int, err error) generation.Event {
	if err != nil || i >= len(reply.GetResults()) {
		return generation.WitnessLost{Append: c.Number}
	}
	result := reply.GetResults()[i]
	return generation.WitnessAnswered{
		Append: c.Number, Length: result.GetLength(), Final: c.Entry.FinishReason != "", Refusal: journal.Refusal(result.GetRefusal()),
	}
}

func (a *appender) send(ctx context.Context, batch []pendingEntry) (*wire.JournalReply, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	conn, err := a.links.conn(a.vm)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	entries := make([]*wire.JournalEntry, 0, len(batch))
	for _, p := range batch {
		entries = append(entries, convert.EntryToWire(p.Entry))
	}
	reply, err := wire.NewDRPCAgentClient(conn).Append(ctx, &wire.JournalRequest{Header: a.links.header(), Entries: entries})
	if err != nil {
		return nil, fmt.Errorf("append: %w", err)
	}
	return reply, nil
}
