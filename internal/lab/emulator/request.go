package emulator

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/lab/responder"
)

const (
	maxBodyBytes     = 8 << 20
	defaultMaxTokens = 1024
	// meanLogLength and stdDevLogLength are the mean and the standard deviation of
	// the natural logarithm of the answer lengths, in tokens, that are drawn for
	// requests without x_tokens.
	meanLogLength   = 4.6
	stdDevLogLength = 0.8
)

// completionRequest is the body of a completion request. AnswerTokens, which real
// engines don't have, sets the length of the answer; zero draws one.
type completionRequest struct {
	Model        string          `json:"model"`
	Messages     []message       `json:"messages"`
	Prompt       json.RawMessage `json:"prompt"`
	MaxTokens    int             `json:"max_tokens"`
	Stream       bool            `json:"stream"`
	AnswerTokens int             `json:"x_tokens"`
}

type message struct {
	Content json.RawMessage `json:"content"`
}

// promptText returns the text of the prompt field followed by the contents of the
// messages.
func (r *completionRequest) promptText() []byte {
	text := textOrRawJSON(r.Prompt)
	for _, m := range r.Messages {
		text = append(text, textOrRawJSON(m.Content)...)
	}

	return text
}

// textOrRawJSON returns the text of a JSON string, and any other JSON value as it is.
func textOrRawJSON(raw json.RawMessage) []byte {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return raw
	}

	return []byte(text)
}

// submission is a completion request with the parameters from its headers and path.
type submission struct {
	request  completionRequest
	id       string
	priority int
	isChat   bool
	isPoison bool
}

var (
	errDuplicateID  = errors.New("the stream id was used before")
	errQueueFull    = errors.New("the queue is full")
	errDraining     = errors.New("the engine is draining")
	errRefused      = errors.New("the engine refuses requests")
	errTooLong      = errors.New("prompt and max_tokens are over the engine's memory")
	errUnknownModel = errors.New("the engine does not have this model")
)

// decodeSubmission reads a completion request. A request whose body contains the
// poison text is marked as poison.
func decodeSubmission(w http.ResponseWriter, r *http.Request, poison string) (submission, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return submission{}, err
	}
	parsed := submission{
		id:       r.Header.Get("X-Request-Id"),
		isChat:   strings.HasSuffix(r.URL.Path, "/chat/completions"),
		isPoison: poison != "" && strings.Contains(string(body), poison),
	}
	if err := json.Unmarshal(body, &parsed.request); err != nil {
		return submission{}, err
	}
	if !parsed.request.Stream {
		return submission{}, errors.New("stream must be true")
	}
	if priority := r.Header.Get("X-Priority"); priority != "" {
		if parsed.priority, err = strconv.Atoi(priority); err != nil {
			return submission{}, errors.Wrap(err, "X-Priority")
		}
	}

	return parsed, nil
}

// submit queues a request and returns its stream and the channel that signals
// updates of the stream.
func (e *Emulator) submit(submitted submission, now time.Time) (*stream, chan struct{}, error) {
	if err := e.checkAcceptance(submitted, now); err != nil {
		return nil, nil, err
	}

	e.arrivalCount++
	if submitted.id == "" {
		submitted.id = e.settings.Name + "-" + strconv.FormatUint(e.arrivalCount, 10)
	}
	prompt := submitted.request.promptText()
	maxTokens := maxTokensOf(submitted.request)
	answerTokens := submitted.request.AnswerTokens
	if answerTokens <= 0 {
		answerTokens = e.drawAnswerLength()
	}
	s := &stream{
		id:            submitted.id,
		model:         submitted.request.Model,
		isChat:        submitted.isChat,
		priority:      submitted.priority,
		arrivalNumber: e.arrivalCount,
		isPoison:      submitted.isPoison,
		prefixHashes:  prefixHashes(prompt),
		promptTokens:  tokenCount(prompt),
		answerTokens:  min(answerTokens, maxTokens),
		finishReason:  "stop",
		state:         stateQueued,
	}
	if answerTokens > maxTokens {
		s.finishReason = "length"
	}
	updates := s.subscribe()
	e.streams[s.id] = s
	e.waitQueue.add(s)
	e.audit.Accepted++
	e.wakeLoop()

	return s, updates, nil
}

// checkAcceptance returns why a request is refused, or nil if it is accepted.
func (e *Emulator) checkAcceptance(submitted submission, now time.Time) error {
	if _, exists := e.streams[submitted.id]; exists {
		return errDuplicateID
	}
	if _, exists := e.tombstones.find(submitted.id, now); exists {
		return errDuplicateID
	}
	if model := e.assignmentState.current.Model; model != "" && submitted.request.Model != model {
		return errUnknownModel
	}
	if tokenCount(submitted.request.promptText())+maxTokensOf(submitted.request)+e.settings.Slots >= e.settings.KVTokens {
		return errTooLong
	}
	if e.faults.Refuse {
		return errRefused
	}
	if e.assignmentState.isDraining() {
		return errDraining
	}
	if len(e.waitQueue.streams) >= e.settings.MaxWaiting {
		return errQueueFull
	}

	return nil
}

// maxTokensOf returns the maximum length of the answer, in tokens.
func maxTokensOf(r completionRequest) int {
	if r.MaxTokens <= 0 {
		return defaultMaxTokens
	}

	return r.MaxTokens
}

// tokenCount returns the number of tokens of a prompt, at least one.
func tokenCount(text []byte) int {
	return max(1, (len(text)+bytesPerToken-1)/bytesPerToken)
}

// drawAnswerLength draws the length of an answer, in tokens, from a log-normal
// distribution.
func (e *Emulator) drawAnswerLength() int {
	return max(1, int(math.Exp(meanLogLength+stdDevLogLength*e.rng.NormFloat64())))
}

// writeRefusal writes the error answer to a request that was not accepted.
func writeRefusal(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errDuplicateID):
		responder.Error(w, http.StatusConflict, "duplicate", err.Error())
	case errors.Is(err, errUnknownModel):
		w.Header().Set("X-Started", "false")
		responder.Error(w, http.StatusNotFound, "model", err.Error())
	case errors.Is(err, errTooLong):
		w.Header().Set("X-Started", "false")
		responder.Error(w, http.StatusBadRequest, "too-long", err.Error())
	case errors.Is(err, errQueueFull):
		responder.NotStarted(w, "full", err.Error())
	case errors.Is(err, errDraining):
		responder.NotStarted(w, "draining", err.Error())
	case errors.Is(err, errRefused):
		responder.NotStarted(w, "refused", err.Error())
	default:
		w.Header().Set("X-Started", "false")
		responder.Error(w, http.StatusBadRequest, "malformed", err.Error())
	}
}
