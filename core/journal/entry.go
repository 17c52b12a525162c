package journal

import "bilberrylug.dev/core/ids"

// Open creates a journal at a witness, or moves a whole one there.
type Open struct {
	Prompt   Prompt
	BodyHash uint64
	Tokens   []string
}

// Entry is one append to a journal. An entry with Open set creates the journal first.
type Entry struct {
	Key          ids.RequestKey
	Attempt      ids.Attempt
	Owner        ids.Owner
	Open         *Open
	First        uint32
	Tokens       []string
	FinishReason string
}
