package caller

// format writes an answer in one of the two customary forms.
type format interface {
	chunk(v shown, text string, finish *string) any
	whole(v shown, text, finish string, u usage) any
}

// shown is what stands in every part of an answer.
type shown struct {
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

// textFormat is the form of /v1/completions.
type textFormat struct{}

func (textFormat) chunk(v shown, text string, finish *string) any {
	return envelope{v.id, "text_completion", v.created, v.model, []any{textChoice{0, text, finish}}, nil}
}

func (textFormat) whole(v shown, text, finish string, u usage) any {
	return envelope{v.id, "text_completion", v.created, v.model, []any{textChoice{0, text, &finish}}, &u}
}

// chatFormat is the form of /v1/chat/completions.
type chatFormat struct{}

func (chatFormat) chunk(v shown, text string, finish *string) any {
	delta := chatDelta{0, chatMessage{Content: text}, finish}
	return envelope{v.id, "chat.completion.chunk", v.created, v.model, []any{delta}, nil}
}

func (chatFormat) whole(v shown, text, finish string, u usage) any {
	choice := chatChoice{0, chatMessage{"assistant", text}, finish}
	return envelope{v.id, "chat.completion", v.created, v.model, []any{choice}, &u}
}
