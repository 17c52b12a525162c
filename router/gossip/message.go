package gossip

import (
	"google.golang.org/protobuf/proto"

	"bilberrylug.dev/core/dissemination"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/wire"
)

// message adds to a state update what differs between its receivers: the changes of the store, the recorded prompts and the
// request for cached prompts. It also returns the position of the last prompt in it.
func (b *Broadcaster) message(u dissemination.Update, state *wire.News) (*wire.News, uint64) {
	out := proto.CloneOf(state)
	b.mu.Lock()
	out.Status = encodeStatus(b.node.Status())
	sent, known := b.promptsSent[u.To]
	if b.promptRequests < maxPromptRequests {
		b.promptRequests++
		out.WantsHomes = true
	}
	b.mu.Unlock()
	if u.Delta != nil {
		out.Changes = encodeChanges(u.Delta.List)
		out.Complete = true
		out.ChangesSince = uint64(u.Delta.Since)
		out.ChangesUpTo = uint64(u.Delta.UpTo)
	}
	var position uint64
	if known {
		out.Homes, position = b.o.PromptsSince(sent)
	} else {
		// A router that has just appeared requests the older prompts itself.
		out.Homes, position = b.o.NewPrompts()
	}
	return out, position
}

// forgetPeers forgets the positions of routers that are no longer present. The caller must hold b.mu.
func (b *Broadcaster) forgetPeers(present map[ids.VM]string) {
	for vm := range b.promptsSent {
		if _, known := present[vm]; !known {
			delete(b.promptsSent, vm)
		}
	}
}
