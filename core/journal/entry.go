package journal

import "bilberrylug.dev/core/ids"

// Open creates a journal at a witness. Tokens are those of a journal that moves there from another witness.
type Open struct {
	Prompt   Prompt
	BodyHash uint64
	Tokens   []string
}

// Entry is one append to a journal: Tokens start at index First. If Open is set, the journal is created first.
type Entry struct {
	Key          ids.RequestKey
	Attempt      ids.Attempt
	Owner        ids.Owner
	Open         *Open
	First        uint32
	Tokens       []string
	FinishReason string
}
