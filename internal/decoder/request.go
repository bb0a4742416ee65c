// Package decoder decodes the JSON bodies of chat and completions requests. It reads
// only the fields that routing needs; all other fields are forwarded unchanged.
package decoder

import (
	"bytes"
	"encoding/json"
	"hash/fnv"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

// maxBlocks is the maximum number of a request's messages that count as blocks.
const maxBlocks = 64

// BytesPerToken is the estimated size of a token of prompt text in bytes.
const BytesPerToken = 4

// Request holds the fields of a model request that routing needs.
type Request struct {
	// Model is the name of the model.
	Model string
	// Stream reports whether the caller asks for server-sent events.
	Stream bool
	// MaxAnswerTokens is the maximum length of the answer in tokens; 0 if the caller
	// sets no limit.
	MaxAnswerTokens int
	// Prompt is the text of the prompt.
	Prompt []byte
	// Blocks are the hashes of the messages that other requests may contain too: all but
	// the last.
	Blocks []uint64
	// Body is the body to send to the engine: the caller's, with stream set to true.
	Body []byte
}

// PromptTokens returns the estimated length of the prompt in tokens.
func (r Request) PromptTokens() int {
	return (len(r.Prompt) + BytesPerToken - 1) / BytesPerToken
}

// Fingerprint returns a hash of the model and the prompt, which is the same each time
// that a caller sends the request again.
func (r Request) Fingerprint() uint64 {
	return hashOf(r.Model, r.Prompt)
}

// hashOf returns a hash of a text for a model.
func hashOf(model string, text []byte) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(model))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(text)

	return digest.Sum64()
}

// fields holds the fields of a chat or completions request that are decoded.
// MaxCompletionTokens is the newer name of MaxTokens and takes precedence. The names of
// this type and of message are part of error messages that callers receive.
type fields struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []message       `json:"messages"`
}

// message is one message of a chat request.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// DecodeChat decodes the body of a chat request. Errors are of kind KindMalformed.
func DecodeChat(body []byte) (Request, error) {
	parsed, request, err := decodeCommonFields(body)
	if err != nil {
		return Request{}, err
	}
	if len(parsed.Messages) == 0 {
		return Request{}, newMalformedError("The field messages is missing or empty.")
	}
	for i, message := range parsed.Messages {
		start := len(request.Prompt)
		request.Prompt = append(request.Prompt, message.Role...)
		request.Prompt = append(request.Prompt, '\n')
		request.Prompt = append(request.Prompt, contentText(message.Content)...)
		request.Prompt = append(request.Prompt, '\n')
		if i < min(len(parsed.Messages)-1, maxBlocks) {
			request.Blocks = append(request.Blocks, hashOf(request.Model, request.Prompt[start:]))
		}
	}

	return request, nil
}

// DecodeCompletion decodes the body of a completions request. Errors are of kind
// KindMalformed.
func DecodeCompletion(body []byte) (Request, error) {
	parsed, request, err := decodeCommonFields(body)
	if err != nil {
		return Request{}, err
	}
	if len(parsed.Prompt) == 0 || bytes.Equal(parsed.Prompt, []byte("null")) {
		return Request{}, newMalformedError("The field prompt is missing.")
	}
	request.Prompt = contentText(parsed.Prompt)

	return request, nil
}

// decodeCommonFields decodes a body and returns a request with everything but the
// prompt, which chat and completions requests hold in different fields.
func decodeCommonFields(body []byte) (fields, Request, error) {
	var parsed fields
	if err := json.Unmarshal(body, &parsed); err != nil {
		return fields{}, Request{}, answerer.Wrap(answerer.KindMalformed, "The body is not a JSON request: "+err.Error()+".", err)
	}
	if parsed.Model == "" {
		return fields{}, Request{}, newMalformedError("The field model is missing.")
	}
	request := Request{Model: parsed.Model, Stream: parsed.Stream, Body: body}
	for _, maxTokens := range []*int{parsed.MaxTokens, parsed.MaxCompletionTokens} {
		if maxTokens == nil {
			continue
		}
		if *maxTokens < 1 {
			return fields{}, Request{}, newMalformedError("The limit of tokens must be 1 or more.")
		}
		request.MaxAnswerTokens = *maxTokens
	}
	if !parsed.Stream {
		request.Body = withStreaming(body)
	}

	return parsed, request, nil
}

// withStreaming returns the body with stream set to true. The router always asks the
// engine for a stream, since only a stream can be resumed.
func withStreaming(body []byte) []byte {
	var object map[string]json.RawMessage
	if json.Unmarshal(body, &object) != nil {
		return body
	}
	object["stream"] = json.RawMessage("true")
	streamingBody, err := json.Marshal(object)
	if err != nil {
		return body
	}

	return streamingBody
}

// contentText returns the value of a JSON string. Any other JSON, such as a list of
// content parts, is returned unchanged.
func contentText(raw json.RawMessage) []byte {
	var value string
	if json.Unmarshal(raw, &value) == nil {
		return []byte(value)
	}

	return raw
}

func newMalformedError(message string) error {
	return answerer.New(answerer.KindMalformed, message)
}
