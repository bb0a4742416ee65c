package server

import (
	"encoding/json"
	"strings"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/decoder"
)

// collectedAnswer assembles a complete answer from the engine's chunks for a caller
// that did not ask for a stream.
type collectedAnswer struct {
	id           string
	isChat       bool
	text         strings.Builder
	finishReason string
	tokenCount   int
}

// streamedChunk holds the fields of an engine's chunk that go into the complete answer.
type streamedChunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Text  string `json:"text"`
		Delta *struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// addChunk decodes a chunk and appends its text to the answer.
func (a *collectedAnswer) addChunk(data []byte) error {
	var parsed streamedChunk
	if err := json.Unmarshal(data, &parsed); err != nil {
		return errors.Wrap(err, "decode chunk")
	}
	a.id = parsed.ID
	a.tokenCount++
	for _, choice := range parsed.Choices {
		a.text.WriteString(choice.Text)
		if choice.Delta != nil {
			a.isChat = true
			a.text.WriteString(choice.Delta.Content)
		}
		if choice.FinishReason != "" {
			a.finishReason = choice.FinishReason
		}
	}

	return nil
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Text         string             `json:"text,omitempty"`
	Message      *completionMessage `json:"message,omitempty"`
	FinishReason string             `json:"finish_reason"`
}

type completionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// completionResponse is the JSON body of a complete chat or text completion.
type completionResponse struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

// buildResponse returns the complete answer. Its prompt tokens are an estimate, and
// each chunk counts as one completion token.
func (a *collectedAnswer) buildResponse(request decoder.Request) completionResponse {
	choice := completionChoice{FinishReason: a.finishReason}
	objectType := "text_completion"
	if a.isChat {
		objectType = "chat.completion"
		choice.Message = &completionMessage{Role: "assistant", Content: a.text.String()}
	} else {
		choice.Text = a.text.String()
	}

	return completionResponse{
		ID:      a.id,
		Object:  objectType,
		Model:   request.Model,
		Choices: []completionChoice{choice},
		Usage: completionUsage{
			PromptTokens:     request.PromptTokens(),
			CompletionTokens: a.tokenCount,
			TotalTokens:      request.PromptTokens() + a.tokenCount,
		},
	}
}
