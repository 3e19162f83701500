package side

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/http/events"
	"rhubarbgate.example/rhubarbgate/internal/http/openai"
	"rhubarbgate.example/rhubarbgate/internal/http/target"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
)

// partialOutput is the output of an item so far, over all its attempts at this
// side.
type partialOutput struct {
	text        string
	tokens      int
	preemptions int
}

// fields is a JSON object; fields that this package does not change pass through.
type fields map[string]json.RawMessage

// resumable is a completion whose output can be continued: one choice of plain
// text. It is always streamed, so that a preemption loses no output.
type resumable struct {
	path      string
	fields    fields
	model     string
	chat      bool
	maxTokens int
}

// notResumable lists the request fields with which the output is not a single
// plain text.
var notResumable = []string{"n", "best_of", "tools", "tool_choice", "functions", "logprobs", "response_format", "echo"}

// newResumable returns nil for items whose output cannot be continued.
func newResumable(in *jobs.InputLine) *resumable {
	s := &resumable{path: in.URL, chat: in.URL == openai.ChatPath}
	if json.Unmarshal(in.Body, &s.fields) != nil {
		return nil
	}
	for _, f := range notResumable {
		if _, ok := s.fields[f]; ok {
			return nil
		}
	}
	c, err := openai.ParseCompletion(in.Body)
	if err != nil {
		return nil
	}
	if !s.chat && (len(c.Prompt) == 0 || c.Prompt[0] != '"') {
		return nil
	}
	s.model, s.maxTokens = c.Model, c.MaxTokens
	return s
}

// requestBody returns the body of a request that continues the partial output.
func (s *resumable) requestBody(p *partialOutput) []byte {
	f := fields{}
	for k, v := range s.fields {
		f[k] = v
	}
	f["stream"] = json.RawMessage("true")
	if s.maxTokens > 0 {
		f["max_tokens"] = encode(max(1, s.maxTokens-p.tokens))
	}
	if p.text != "" {
		s.continueFrom(f, p.text)
	}
	return encode(f)
}

func (s *resumable) continueFrom(f fields, text string) {
	if !s.chat {
		var prompt string
		// newResumable checked that the prompt is a string.
		_ = json.Unmarshal(s.fields["prompt"], &prompt)
		f["prompt"] = encode(prompt + text)
		return
	}
	var messages []json.RawMessage
	_ = json.Unmarshal(s.fields["messages"], &messages)
	messages = append(messages, encode(openai.ChoiceText{Role: "assistant", Content: text}))
	f["messages"] = encode(messages)
	f["continue_final_message"] = json.RawMessage("true")
	f["add_generation_prompt"] = json.RawMessage("false")
}

func encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		// Only strings, numbers and valid raw JSON are encoded here.
		panic(err)
	}
	return b
}

// runResumable streams a completion and adds its text to the task's partial output.
func (w *worker) runResumable(ctx context.Context, t *task, s *resumable) (*itemResponse, *rhubarbgate.Error) {
	q := &target.Request{Method: http.MethodPost, Path: s.path, Body: s.requestBody(&t.partial), Idempotent: true, Headers: jsonHeaders()}
	a, err := w.host.targetClient.Do(ctx, q)
	if err != nil {
		return nil, rhubarbgate.AsError(err)
	}
	defer a.Close()
	if a.Status != http.StatusOK {
		r, err := readItemResponse(ctx, a)
		if err == nil && t.partial.text != "" {
			// The target refused the continuation, which is no response to the item. It starts over.
			t.partial.text, t.partial.tokens = "", 0
			return nil, rhubarbgate.Errorf(rhubarbgate.CodeUpstream, rhubarbgate.Ran, "the target answered a continuation with status %d", a.Status)
		}
		return r, err
	}
	if err := events.CheckHead(a.Header); err != nil {
		return nil, responseError(ctx, err)
	}
	c := &eventCollector{partial: &t.partial}
	if err := c.read(a); err != nil {
		a.Abandon()
		return nil, responseError(ctx, err)
	}
	if !c.ended || c.finish == nil {
		a.Abandon()
		return nil, rhubarbgate.Errorf(rhubarbgate.CodeUpstream, rhubarbgate.MayHaveRun, "the stream ended without its last event or a reason to end")
	}
	return &itemResponse{status: http.StatusOK, body: c.response(s)}, nil
}

// eventCollector collects the events of one stream.
type eventCollector struct {
	partial *partialOutput
	last    openai.Response
	finish  *string
	usage   *openai.Usage
	ended   bool
}

// eventDone is the data of the event that ends a stream.
var eventDone = []byte("[DONE]")

// read adds the events of a response. After an error, the partial output ends with a whole event.
func (c *eventCollector) read(a io.Reader) error {
	r := events.NewReader(a, nil)
	for {
		e, err := r.Next()
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		case e.IsComment():
		case bytes.Equal(e.Data, eventDone):
			c.ended = true
		default:
			if err := c.addEvent(e.Data); err != nil {
				return err
			}
		}
	}
}

func (c *eventCollector) addEvent(data []byte) error {
	var event struct {
		openai.Response
		Error json.RawMessage `json:"error"`
	}
	if err := json.Unmarshal(data, &event); err != nil {
		return errors.Annotate(err, "event")
	}
	if len(event.Error) > 0 && !bytes.Equal(event.Error, []byte("null")) {
		return errors.Errorf("the stream ended with the error %.200s", event.Error)
	}
	r := event.Response
	c.last = r
	if r.Usage != nil {
		c.usage = r.Usage
	}
	for _, x := range r.Choices {
		if x.FinishReason != nil {
			c.finish = x.FinishReason
		}
		text := x.Text
		if x.Delta != nil {
			text = x.Delta.Content
		}
		if text != "" {
			if len(c.partial.text)+len(text) > maxItemResponseBytes {
				// Output that long is not the item's, so no other attempt may continue it.
				c.partial.text, c.partial.tokens = "", 0
				return errors.Errorf("the output has more than %d bytes", maxItemResponseBytes)
			}
			c.partial.text += text
			c.partial.tokens++
		}
	}
	return nil
}

// response builds the body that the item would have received without streaming.
func (c *eventCollector) response(s *resumable) []byte {
	r := c.last
	x := openai.Choice{FinishReason: c.finish}
	if s.chat {
		r.Object = "chat.completion"
		x.Message = &openai.ChoiceText{Role: "assistant", Content: c.partial.text}
	} else {
		r.Object = "text_completion"
		x.Text = c.partial.text
	}
	r.Choices = []openai.Choice{x}
	r.Usage = c.usage
	if r.Usage != nil {
		// The target counts only the tokens since the stream was resumed.
		u := *r.Usage
		u.CompletionTokens = c.partial.tokens
		u.TotalTokens = u.PromptTokens + u.CompletionTokens
		r.Usage = &u
	}
	return encode(&r)
}
