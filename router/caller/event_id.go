package caller

import (
	"fmt"
	"strconv"
	"strings"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/journal"
)

const eventIDFields = 4

// EventID identifies a position in an answer by the request, the number of tokens up to the position, their digest, and
// the witness that held them when they were sent to the caller.
type EventID struct {
	Length  uint32
	Digest  journal.Digest
	Witness ids.VM
	Request ids.Request
}

// String returns the ID in the form used in the event stream: length.digest.witness.request.
func (id EventID) String() string {
	return fmt.Sprintf("%d.%016x.%s.%s", id.Length, uint64(id.Digest), id.Witness, id.Request)
}

// ParseEventID parses the form returned by [EventID.String]. A malformed ID is a fault of kind bad_request.
func ParseEventID(s string) (EventID, error) {
	fields := strings.SplitN(s, ".", eventIDFields)
	if len(fields) != eventIDFields || fields[3] == "" {
		return EventID{}, fault.New(fault.BadRequest, "Last-Event-ID %q", s)
	}
	length, err := strconv.ParseUint(fields[0], 10, 32)
	if err != nil {
		return EventID{}, fault.Wrap(fault.BadRequest, err, "Last-Event-ID %q", s)
	}
	digest, err := strconv.ParseUint(fields[1], 16, 64)
	if err != nil {
		return EventID{}, fault.Wrap(fault.BadRequest, err, "Last-Event-ID %q", s)
	}
	return EventID{uint32(length), journal.Digest(digest), ids.VM(fields[2]), ids.Request(fields[3])}, nil
}
