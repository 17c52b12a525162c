package wireconv

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"bilberrylug.dev/core/quarantine"
	"bilberrylug.dev/core/wire"
)

// StoredQuarantineToWire encodes a snapshot for the store, as written at the given time.
func StoredQuarantineToWire(r quarantine.Report, writtenAt time.Time) ([]byte, error) {
	return proto.Marshal(&wire.StoredQuarantine{Quarantine: QuarantineToWire(r), WrittenAtMs: writtenAt.UnixMilli()})
}

// StoredQuarantineFromWire decodes a snapshot of the store, whose ages are those at the returned time of writing.
func StoredQuarantineFromWire(value []byte) (r quarantine.Report, writtenAt time.Time, err error) {
	var m wire.StoredQuarantine
	if err := proto.Unmarshal(value, &m); err != nil {
		return quarantine.Report{}, time.Time{}, fmt.Errorf("decode stored quarantine: %w", err)
	}
	return QuarantineFromWire(m.GetQuarantine()), time.UnixMilli(m.GetWrittenAtMs()), nil
}
