package sse

import (
	"bytes"
	"regexp"
	"strconv"
)

// Form tells which lines an event has besides one ID and data. Every form is a legal one, but a changed byte in the lines of an event
// leads to some of them.
type Form uint8

const (
	// NoData is set for an event without data.
	NoData Form = 1 << iota
	// UnknownField is set for a line that is no comment and has a field that no event has, or an ID that is no number.
	UnknownField
	// SplitData is set if such a line follows data, or any other line stands between data: it may be the rest of the data, or the
	// beginning of another event.
	SplitData
	// Merged is set if the lines are those of two events: two IDs, or data again after a line with an unknown field.
	Merged
	// LostData is set if such a line is all that a block has, or any line all that it has besides an ID: it may have been data.
	LostData
)

// Suspect are the forms of events that may have lost a part. Another run of the stream has to have the same one.
const Suspect = SplitData | Merged | LostData

// Broken are the forms of events that have lost a part in all likelihood.
const Broken = Merged | LostData

// annotation matches the line with which an upstream may begin an event, such as the version of its weights.
var annotation = regexp.MustCompile(`^[a-z-]+: ?[0-9]+$`)

// block is what has been read of a block of lines.
type block struct {
	lines int
	data  int
	id    uint64
	hasID bool
	form  Form
	// annotated is set if the first line is an annotation.
	annotated bool
	// emptyData is set if the last data was empty, so that a line after it may be its value.
	emptyData bool
	// afterData is set if the last line was data.
	afterData bool
	// ended is set at the beginning of a block that follows another one.
	ended bool
}

func (b *block) isEvent() bool { return b.data > 0 || b.hasID }

// readLine reads a line that is not blank.
func (b *block) readLine(line []byte) {
	b.ended = false
	name, value, _ := bytes.Cut(line, []byte(":"))
	first := b.lines == 0
	b.lines++
	defer func() { b.afterData = string(name) == "data" }()
	switch string(name) {
	case "event", "retry":
	case "":
		if b.emptyData {
			b.form |= LostData
		}
	case "data":
		if b.data > 0 && b.form&SplitData != 0 {
			b.form |= Merged
		}
		if b.data > 0 && !b.afterData {
			b.form |= SplitData
		}
		b.data++
		b.emptyData = len(bytes.TrimSpace(value)) == 0
	case "id":
		b.readID(bytes.TrimSpace(value))
	default:
		if first && annotation.Match(line) {
			b.annotated = true
			return
		}
		b.unknown()
	}
}

// readID reads an ID. An empty one leaves the event without an ID.
func (b *block) readID(value []byte) {
	n, err := strconv.ParseUint(string(value), 10, 64)
	switch {
	case len(value) == 0:
	case err != nil:
		b.unknown()
	case b.hasID && n != b.id:
		b.id = n
		b.form |= Merged
	default:
		b.id, b.hasID = n, true
	}
}

// unknown records a line that no event has.
func (b *block) unknown() {
	b.form |= UnknownField
	if b.data > 0 {
		b.form |= SplitData
	}
	if b.emptyData {
		b.form |= LostData
	}
}

// complete adds the block to an event.
func (b *block) complete(e *Event) {
	e.ID, e.HasID = b.id, b.hasID
	e.Form |= b.form
	if b.data > 0 {
		return
	}
	if b.annotated || b.form&UnknownField != 0 || b.hasID && b.lines > 1 {
		e.Form |= LostData
	}
	if b.hasID {
		e.Form |= NoData
	}
}
