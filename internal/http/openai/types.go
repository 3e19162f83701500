// Package openai holds the shapes of the OpenAI-compatible HTTP interface.
package openai

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"

	"rhubarbgate.example/rhubarbgate"
)

// Paths of the endpoints that models serve.
const (
	ChatPath       = "/v1/chat/completions"
	CompletionPath = "/v1/completions"
)

// VerdictHeader tells a caller whether a refused request may have run.
const VerdictHeader = "Rhubarbgate-Verdict"

// prefixBytes is how much of a prompt's head counts for prefix affinity.
const prefixBytes = 256

// Message is one message of a chat.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// CompletionRequest is the part of a completion request that routing reads.
type CompletionRequest struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Messages  []Message       `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
}

// ErrorBody is the error shape that callers get.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Verdict string `json:"verdict"`
}

// NewErrorBody returns the body that reports e.
func NewErrorBody(e *rhubarbgate.Error) *ErrorBody {
	t := "server_error"
	if s := e.Code.Status(); s < 500 {
		t = "invalid_request_error"
	}
	return &ErrorBody{Error: ErrorDetail{
		Message: e.Message, Type: t, Code: snake(e.Code.String()), Verdict: e.Verdict.String(),
	}}
}

// snake turns a name in Pascal case into snake case.
func snake(s string) string {
	var b strings.Builder
	for i, r := range s {
		if r >= 'A' && r <= 'Z' {
			if i > 0 {
				b.WriteByte('_')
			}
			r += 'a' - 'A'
		}
		b.WriteRune(r)
	}
	return b.String()
}

// ParseCompletion reads a completion request. Its error names the place.
func ParseCompletion(body []byte) (*CompletionRequest, error) {
	var c CompletionRequest
	if err := Decode(body, &c); err != nil {
		return nil, err
	}
	if c.Model == "" {
		return nil, rhubarbgate.Errorf(rhubarbgate.CodeInvalid, rhubarbgate.NotRun, "the field \"model\" is missing")
	}
	return &c, nil
}

// Decode reads JSON; its error is an *rhubarbgate.Error that names the place.
func Decode(body []byte, v any) error {
	err := json.Unmarshal(body, v)
	if err == nil {
		return nil
	}
	place := ""
	switch e := err.(type) {
	case *json.SyntaxError:
		line := 1 + bytes.Count(body[:min(e.Offset, int64(len(body)))], []byte("\n"))
		place = " at byte " + itoa(e.Offset) + ", line " + itoa(int64(line))
	case *json.UnmarshalTypeError:
		place = " at byte " + itoa(e.Offset) + ", field \"" + e.Field + "\""
	}
	return rhubarbgate.Errorf(rhubarbgate.CodeInvalid, rhubarbgate.NotRun, "malformed JSON%s: %v", place, err)
}

func itoa(n int64) string {
	b, _ := json.Marshal(n)
	return string(b)
}

// Prefix hashes the head of the prompt; 0 means that there is none.
func (c *CompletionRequest) Prefix() uint64 {
	head := []byte(c.Prompt)
	if len(c.Messages) > 0 {
		head = c.Messages[0].Content
	}
	if len(head) == 0 {
		return 0
	}
	h := xxhash.Sum64(append([]byte(c.Model+"\x00"), head[:min(len(head), prefixBytes)]...))
	return max(h, 1)
}

// Model is an entry of the model list.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// List is any list of objects.
type List[T any] struct {
	Object  string `json:"object"`
	Data    []T    `json:"data"`
	HasMore bool   `json:"has_more"`
}

// File describes an uploaded file.
type File struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

// BatchRequest creates a batch.
type BatchRequest struct {
	InputFileID      string `json:"input_file_id"`
	Endpoint         string `json:"endpoint"`
	CompletionWindow string `json:"completion_window"`
}

// Batch describes a batch.
type Batch struct {
	ID               string        `json:"id"`
	Object           string        `json:"object"`
	Endpoint         string        `json:"endpoint"`
	InputFileID      string        `json:"input_file_id"`
	OutputFileID     string        `json:"output_file_id"`
	CompletionWindow string        `json:"completion_window"`
	Status           string        `json:"status"`
	CreatedAt        int64         `json:"created_at"`
	ExpiresAt        int64         `json:"expires_at"`
	CompletedAt      int64         `json:"completed_at,omitempty"`
	RequestCounts    RequestCounts `json:"request_counts"`
}

// RequestCounts are the items of a batch by state.
type RequestCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
}

// Choice is one alternative of a completion or of a part of it.
type Choice struct {
	Index        int         `json:"index"`
	Message      *ChoiceText `json:"message,omitempty"`
	Delta        *ChoiceText `json:"delta,omitempty"`
	Text         string      `json:"text,omitempty"`
	FinishReason *string     `json:"finish_reason"`
}

// ChoiceText is the text of a chat choice.
type ChoiceText struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	CachedTokens     int `json:"cached_tokens,omitempty"`
}

// Response is a completion or, as an event of a stream, a part of one.
type Response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}
