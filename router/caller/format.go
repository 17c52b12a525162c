package caller

// format builds the response bodies of one of the two completion endpoints.
type format interface {
	// chunk returns one event of a stream. finish is the finish reason in the last chunk, and nil before.
	chunk(m responseMeta, text string, finish *string) any
	// completion returns the single response to a request that does not stream.
	completion(m responseMeta, text, finish string, u usage) any
}

// responseMeta holds the fields that are the same in every chunk of a response.
type responseMeta struct {
	format  format
	id      string
	model   string
	created int64
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type envelope struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	Choices []any  `json:"choices"`
	Usage   *usage `json:"usage,omitempty"`
}

type textChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type chatDelta struct {
	Index        int         `json:"index"`
	Delta        chatMessage `json:"delta"`
	FinishReason *string     `json:"finish_reason"`
}

type chatChoice struct {
	Index        int         `json:"index"`
	Message      chatMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

// textFormat is the format of /v1/completions.
type textFormat struct{}

func (textFormat) chunk(m responseMeta, text string, finish *string) any {
	return envelope{m.id, "text_completion", m.created, m.model, []any{textChoice{0, text, finish}}, nil}
}

func (textFormat) completion(m responseMeta, text, finish string, u usage) any {
	return envelope{m.id, "text_completion", m.created, m.model, []any{textChoice{0, text, &finish}}, &u}
}

// chatFormat is the format of /v1/chat/completions.
type chatFormat struct{}

func (chatFormat) chunk(m responseMeta, text string, finish *string) any {
	delta := chatDelta{0, chatMessage{Content: text}, finish}
	return envelope{m.id, "chat.completion.chunk", m.created, m.model, []any{delta}, nil}
}

func (chatFormat) completion(m responseMeta, text, finish string, u usage) any {
	choice := chatChoice{0, chatMessage{"assistant", text}, finish}
	return envelope{m.id, "chat.completion", m.created, m.model, []any{choice}, &u}
}
