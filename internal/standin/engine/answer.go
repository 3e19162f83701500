package engine

import (
	"bufio"
	"encoding/json"

	"rhubarbgate.example/rhubarbgate/internal/http/openai"
)

// response encodes the tokens of one request as a completion or a chat completion.
type response struct {
	id    string
	model string
	chat  bool
	usage *openai.Usage
}

// finishStop is the finish reason of all responses; a variable, as the field is a pointer.
var finishStop = "stop"

// writeEvent writes one token as a server-sent event; the last event carries the finish
// reason and the usage.
func (resp *response) writeEvent(w *bufio.Writer, token string, last bool) error {
	body := openai.Response{ID: resp.id, Object: "text_completion", Model: resp.model}
	choice := openai.Choice{Text: token}
	if resp.chat {
		body.Object = "chat.completion.chunk"
		choice = openai.Choice{Delta: &openai.ChoiceText{Content: token}}
	}
	if last {
		choice.FinishReason = &finishStop
		body.Usage = resp.usage
	}
	body.Choices = []openai.Choice{choice}
	b, err := json.Marshal(&body)
	if err != nil {
		return err
	}
	if _, err := w.WriteString("data: " + string(b) + "\n\n"); err != nil {
		return err
	}
	return w.Flush()
}

// complete returns the response to a request that does not stream.
func (resp *response) complete(text string) *openai.Response {
	body := &openai.Response{ID: resp.id, Object: "text_completion", Model: resp.model, Usage: resp.usage}
	choice := openai.Choice{Text: text, FinishReason: &finishStop}
	if resp.chat {
		body.Object = "chat.completion"
		choice = openai.Choice{Message: &openai.ChoiceText{Role: "assistant", Content: text}, FinishReason: &finishStop}
	}
	body.Choices = []openai.Choice{choice}
	return body
}
