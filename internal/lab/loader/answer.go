package loader

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// result is how a request ended, as its caller saw it.
type result int

const (
	// resultComplete is a complete answer.
	resultComplete result = iota
	// resultRefused is an error answer that says that the request did not run.
	resultRefused
	// resultPartial is an answer that ended with an error after a part of it.
	resultPartial
	// resultUnknown is an error answer after which the request may have run.
	resultUnknown
	// resultBroken is a connection that broke or timed out before the end of the answer.
	resultBroken
	// resultTruncated is a stream that ended without an error, but without its end mark or
	// with another number of tokens than expected.
	resultTruncated
	// resultGarbled is a stream with a wrong, skipped or repeated token, or with data that
	// can't be decoded.
	resultGarbled
	// resultAbandoned is a stream that the caller closed on purpose.
	resultAbandoned
)

// errorResponse is the JSON body of a router's error answer.
type errorResponse struct {
	Error struct {
		Kind       string  `json:"kind"`
		Message    string  `json:"message"`
		Outcome    string  `json:"outcome"`
		RetryAfter float64 `json:"retryAfter"`
	} `json:"error"`
}

// result returns the result that the error answer states: refused, partial or unknown.
func (f errorResponse) result() result {
	switch f.Error.Outcome {
	case "not-run":
		return resultRefused
	case "partial":
		return resultPartial
	default:
		return resultUnknown
	}
}

// answer is what a caller read of an answer. The answer of a plain service has a result and
// a firstTokenAt only.
type answer struct {
	result       result
	errorKind    string // The error kind, if an error ended it.
	tokenCount   int
	firstTokenAt time.Time
	lastTokenAt  time.Time
	tokenGaps    []time.Duration
}

// streamChecker reads the server-sent events of a chat and checks that its tokens are t0,
// t1 and so on.
type streamChecker struct {
	lines       *bufio.Reader
	answer      answer
	nextIsError bool // Set by an error event; the next data is an error's JSON.
	now         func() time.Time
}

var (
	contentPrefix    = []byte(`"content":"`)
	endOfStreamData  = []byte("[DONE]")
	dataFieldPrefix  = []byte("data:")
	eventFieldPrefix = []byte("event:")
)

var errUnexpectedToken = errors.New("unexpected token in the stream")

// checkStream reads a stream to its end, or until it has abandonAfter tokens unless that is
// zero. A complete stream has wantTokens tokens.
func checkStream(body io.Reader, wantTokens, abandonAfter int, now func() time.Time) answer {
	c := streamChecker{lines: bufio.NewReader(body), now: now}
	for {
		line, err := c.lines.ReadSlice('\n')
		if err != nil {
			c.answer.result = resultBroken
			if errors.Is(err, io.EOF) {
				c.answer.result = resultTruncated
			}

			return c.answer
		}
		if c.checkLine(bytes.TrimSpace(line), wantTokens) {
			return c.answer
		}
		if abandonAfter > 0 && c.answer.tokenCount >= abandonAfter {
			c.answer.result = resultAbandoned

			return c.answer
		}
	}
}

// checkLine handles one line of the stream and reports whether the answer has ended.
func (c *streamChecker) checkLine(line []byte, wantTokens int) bool {
	if name, ok := bytes.CutPrefix(line, eventFieldPrefix); ok {
		c.nextIsError = string(bytes.TrimSpace(name)) == "error"

		return false
	}
	data, ok := bytes.CutPrefix(line, dataFieldPrefix)
	if !ok {
		return false
	}
	data = bytes.TrimSpace(data)
	if c.nextIsError {
		c.answer.result, c.answer.errorKind = parseError(data)

		return true
	}
	if bytes.Equal(data, endOfStreamData) {
		c.answer.result = resultComplete
		if c.answer.tokenCount != wantTokens {
			c.answer.result = resultTruncated
		}

		return true
	}
	if err := c.checkChunk(data); err != nil {
		c.answer.result = resultGarbled

		return true
	}

	return false
}

// parseError decodes an error's JSON and returns its result and error kind. JSON that can't
// be decoded gives resultGarbled and no kind.
func parseError(data []byte) (result, string) {
	var response errorResponse
	if err := json.Unmarshal(data, &response); err != nil {
		return resultGarbled, ""
	}

	return response.result(), response.Error.Kind
}

// checkChunk checks and counts the tokens of one chunk. It returns errUnexpectedToken if a
// token isn't the next one.
func (c *streamChecker) checkChunk(data []byte) error {
	content, err := chunkContent(data)
	if err != nil {
		return err
	}
	for len(content) > 0 {
		rest, ok := bytes.CutPrefix(content, []byte(" t"))
		if !ok {
			return errUnexpectedToken
		}
		end := bytes.IndexByte(rest, ' ')
		if end < 0 {
			end = len(rest)
		}
		number, err := strconv.Atoi(string(rest[:end]))
		if err != nil || number != c.answer.tokenCount {
			return errUnexpectedToken
		}
		c.recordToken()
		content = rest[end:]
	}

	return nil
}

// recordToken counts a token and records the time since the one before it.
func (c *streamChecker) recordToken() {
	now := c.now()
	if c.answer.tokenCount == 0 {
		c.answer.firstTokenAt = now
	} else {
		c.answer.tokenGaps = append(c.answer.tokenGaps, now.Sub(c.answer.lastTokenAt))
	}
	c.answer.lastTokenAt = now
	c.answer.tokenCount++
}

// chunkContent returns the text of a chunk. Where it can, it cuts the text out without
// decoding the JSON, to save time; text with escapes is decoded.
func chunkContent(data []byte) ([]byte, error) {
	if _, after, ok := bytes.Cut(data, contentPrefix); ok {
		if end := bytes.IndexByte(after, '"'); end >= 0 && !bytes.ContainsRune(after[:end], '\\') {
			return after[:end], nil
		}
	}

	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return nil, err
	}
	if len(chunk.Choices) == 0 {
		return nil, nil
	}

	return []byte(chunk.Choices[0].Delta.Content), nil
}
