package engine

import (
	"bufio"
	"encoding/json"

	"rhubarbgate.example/rhubarbgate/internal/http/openai"
)

// answer shapes the tokens of one stream.
type answer struct {
	id    string
	model string
	chat  bool
	usage *openai.Usage
}

var finishStop = "stop"

// event writes one server-sent event; the last one carries the usage.
func (a *answer) event(w *bufio.Writer, token string, last bool) error {
	r := openai.Response{ID: a.id, Object: "text_completion", Model: a.model}
	x := openai.Choice{Text: token}
	if a.chat {
		r.Object = "chat.completion.chunk"
		x = openai.Choice{Delta: &openai.ChoiceText{Content: token}}
	}
	if last {
		x.FinishReason = &finishStop
		r.Usage = a.usage
	}
	r.Choices = []openai.Choice{x}
	b, err := json.Marshal(&r)
	if err != nil {
		return err
	}
	if _, err := w.WriteString("data: " + string(b) + "\n\n"); err != nil {
		return err
	}
	return w.Flush()
}

// whole returns the answer that is not streamed.
func (a *answer) whole(text string) *openai.Response {
	r := &openai.Response{ID: a.id, Object: "text_completion", Model: a.model, Usage: a.usage}
	x := openai.Choice{Text: text, FinishReason: &finishStop}
	if a.chat {
		r.Object = "chat.completion"
		x = openai.Choice{Message: &openai.ChoiceText{Role: "assistant", Content: text}, FinishReason: &finishStop}
	}
	r.Choices = []openai.Choice{x}
	return r
}
