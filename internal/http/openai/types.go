// Package openai defines the request and response types of the OpenAI-compatible HTTP API.
package openai

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"

	"rhubarbgate.example/rhubarbgate"
)

// Paths of the completion endpoints.
const (
	ChatPath       = "/v1/chat/completions"
	CompletionPath = "/v1/completions"
)

// VerdictHeader is the response header that says whether a failed request may have run.
const VerdictHeader = "Rhubarbgate-Verdict"

// maxPrefixBytes is the length of the prompt prefix that is hashed for prefix affinity.
const maxPrefixBytes = 256

// Message is one message of a chat. Content is a string or a list of parts.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// CompletionRequest holds the fields of a chat or text completion request that this
// project reads. Others are forwarded without being read. A chat request has Messages, a
// text request has Prompt.
type CompletionRequest struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Messages  []Message       `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
}

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error. Code is the error code in snake case; Verdict says
// whether the request may have run.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Verdict string `json:"verdict"`
}

// NewErrorBody returns the body of the response to a request that failed with e.
func NewErrorBody(e *rhubarbgate.Error) *ErrorBody {
	t := "server_error"
	if s := e.Code.Status(); s < 500 {
		t = "invalid_request_error"
	}
	return &ErrorBody{Error: ErrorDetail{
		Message: e.Message, Type: t, Code: snakeCase(e.Code.String()), Verdict: e.Verdict.String(),
	}}
}

// snakeCase converts a name from Pascal case to snake case.
func snakeCase(s string) string {
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

// ParseCompletion decodes a completion request and requires a model. An error in the JSON
// includes its position.
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

// Decode decodes JSON. Its error is an *rhubarbgate.Error that includes the position.
func Decode(body []byte, v any) error {
	err := json.Unmarshal(body, v)
	if err == nil {
		return nil
	}
	position := ""
	switch e := err.(type) {
	case *json.SyntaxError:
		line := 1 + bytes.Count(body[:min(e.Offset, int64(len(body)))], []byte("\n"))
		position = " at byte " + itoa(e.Offset) + ", line " + itoa(int64(line))
	case *json.UnmarshalTypeError:
		position = " at byte " + itoa(e.Offset) + ", field \"" + e.Field + "\""
	}
	return rhubarbgate.Errorf(rhubarbgate.CodeInvalid, rhubarbgate.NotRun, "malformed JSON%s: %v", position, err)
}

func itoa(n int64) string {
	b, _ := json.Marshal(n)
	return string(b)
}

// PrefixHash returns a hash of the model and the beginning of the prompt. It is 0 only if
// there is no prompt.
func (c *CompletionRequest) PrefixHash() uint64 {
	head := []byte(c.Prompt)
	if len(c.Messages) > 0 {
		head = c.Messages[0].Content
	}
	if len(head) == 0 {
		return 0
	}
	h := xxhash.Sum64(append([]byte(c.Model+"\x00"), head[:min(len(head), maxPrefixBytes)]...))
	return max(h, 1)
}

// Model is an element of the list of models.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// List is the response to a request for a list.
type List[T any] struct {
	Object  string `json:"object"`
	Data    []T    `json:"data"`
	HasMore bool   `json:"has_more"`
}

// File describes an uploaded file or the output file of a batch. CreatedAt is in Unix
// seconds.
type File struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

// BatchRequest is the body of a request that creates a batch. CompletionWindow is a Go
// duration; empty means the default.
type BatchRequest struct {
	InputFileID      string `json:"input_file_id"`
	Endpoint         string `json:"endpoint"`
	CompletionWindow string `json:"completion_window"`
}

// Batch describes a batch. Times are in Unix seconds; CompletedAt is 0 until the batch
// ends.
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

// RequestCounts counts the items of a batch by state.
type RequestCounts struct {
	Total     int `json:"total"`
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
}

// Choice is one alternative of a completion. A chat response sets Message, an event of a
// chat stream sets Delta, and a text completion sets Text.
type Choice struct {
	Index        int         `json:"index"`
	Message      *ChoiceText `json:"message,omitempty"`
	Delta        *ChoiceText `json:"delta,omitempty"`
	Text         string      `json:"text,omitempty"`
	FinishReason *string     `json:"finish_reason"`
}

// ChoiceText is the text of a chat choice or a part of it.
type ChoiceText struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Usage is the number of tokens of a completion. CachedTokens are the prompt tokens that
// the engine's prefix cache already held.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	CachedTokens     int `json:"cached_tokens,omitempty"`
}

// Response is the response to a completion request, or one event of a streamed response.
type Response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}
