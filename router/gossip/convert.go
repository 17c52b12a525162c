package gossip

import (
	"time"

	"bilberrylug.dev/core/delta"
	"bilberrylug.dev/core/dissemination"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/mirror"
	"bilberrylug.dev/core/store"
	"bilberrylug.dev/core/wire"
)

func encodeStatus(s dissemination.Status) *wire.RouterStatus {
	return &wire.RouterStatus{
		FailureDomain: string(s.Domain), Revision: uint64(s.Revision), Holds: uint64(s.Holds), Narrow: s.Narrow,
		MinIntervalMs: uint32(s.MinInterval.Milliseconds()),
	}
}

func decodeStatus(s *wire.RouterStatus) dissemination.Status {
	return dissemination.Status{
		Domain: ids.FailureDomain(s.GetFailureDomain()), Revision: store.Revision(s.GetRevision()), Holds: store.Revision(s.GetHolds()),
		Narrow: s.GetNarrow(), MinInterval: time.Duration(s.GetMinIntervalMs()) * time.Millisecond,
	}
}

func encodeChanges(list []store.Change) []*wire.StoreChange {
	out := make([]*wire.StoreChange, 0, len(list))
	for _, c := range list {
		out = append(out, &wire.StoreChange{
			Key: c.Key, Value: c.Value, Revision: uint64(c.Modified), Removed: c.Removed, OmittedBytes: uint32(c.OmittedBytes),
		})
	}
	return out
}

func decodeChanges(list []*wire.StoreChange) []store.Change {
	out := make([]store.Change, 0, len(list))
	for _, c := range list {
		out = append(out, store.Change{
			Item:    store.Item{Key: c.GetKey(), Value: c.GetValue(), Modified: store.Revision(c.GetRevision())},
			Removed: c.GetRemoved(), OmittedBytes: int(c.GetOmittedBytes()),
		})
	}
	return out
}

func decodePage(r *wire.PullReply) *dissemination.Page {
	return &dissemination.Page{
		Delta: mirror.Delta{
			List: decodeChanges(r.GetChanges()), Since: store.Revision(r.GetSince()), UpTo: store.Revision(r.GetUpTo()),
			More: r.GetMore(), Snapshot: r.GetSnapshot(),
		},
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
	}
}

func encodePage(p dissemination.Page) *wire.PullReply {
	return &wire.PullReply{
		Changes: encodeChanges(p.List), Since: uint64(p.Since), UpTo: uint64(p.UpTo), More: p.More, Snapshot: p.Snapshot,
		RetryAfterMs: milliseconds(p.RetryAfter),
	}
}

func encodeChunkRequest(r dissemination.ChunkRequest) *wire.ChunkRequest {
	return &wire.ChunkRequest{
		Revision: uint64(r.Revision), Base: uint64(r.Base), Offset: uint32(r.Offset), Checksum: r.Checksum, Narrow: r.Narrow,
	}
}

func decodeChunkRequest(r *wire.ChunkRequest) dissemination.ChunkRequest {
	return dissemination.ChunkRequest{
		Revision: store.Revision(r.GetRevision()), Base: store.Revision(r.GetBase()), Offset: int(r.GetOffset()), Checksum: r.GetChecksum(),
		Narrow: r.GetNarrow(),
	}
}

func encodeChunk(c dissemination.Chunk) *wire.ChunkReply {
	out := &wire.ChunkReply{
		Revision: uint64(c.Revision), Base: uint64(c.Base), Format: uint32(c.Format), Size: uint32(c.Size),
		EncodedSize: uint32(c.EncodedSize), Checksum: c.Checksum, Data: c.Data, Missing: c.Missing,
		RetryAfterMs: milliseconds(c.RetryAfter),
	}
	for _, vm := range c.Others {
		out.Others = append(out.Others, string(vm))
	}
	return out
}

func decodeChunk(r *wire.ChunkReply) *dissemination.Chunk {
	out := &dissemination.Chunk{
		Revision: store.Revision(r.GetRevision()), Base: store.Revision(r.GetBase()),
		Encoded:     delta.Encoded{Format: delta.Format(r.GetFormat()), Size: int(r.GetSize()), Data: r.GetData()},
		EncodedSize: int(r.GetEncodedSize()), Checksum: r.GetChecksum(), Missing: r.GetMissing(),
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
	}
	for _, vm := range r.GetOthers() {
		out.Others = append(out.Others, ids.VM(vm))
	}
	return out
}

// milliseconds rounds up, so that a short time does not become zero.
func milliseconds(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}
