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
	maxBody          = 8 << 20
	defaultMaxTokens = 1024
	// meanLog and deviationLog describe the lengths drawn for requests that
	// do not name theirs.
	meanLog      = 4.6
	deviationLog = 0.8
)

// request is the body of a completion request.
type request struct {
	Model     string          `json:"model"`
	Messages  []message       `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	Length    int             `json:"x_tokens"`
}

type message struct {
	Content json.RawMessage `json:"content"`
}

// text returns the prompt: the contents of the messages joined, or the
// prompt's text.
func (r *request) text() []byte {
	text := plain(r.Prompt)
	for _, m := range r.Messages {
		text = append(text, plain(m.Content)...)
	}

	return text
}

// plain returns a JSON string's text, and any other value as it is.
func plain(raw json.RawMessage) []byte {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return raw
	}

	return []byte(text)
}

// submission is a completion request as the engine takes it.
type submission struct {
	request  request
	id       string
	priority int
	chat     bool
	poisoned bool
}

var (
	errDuplicate = errors.New("the stream id was used before")
	errFull      = errors.New("the queue is full")
	errDraining  = errors.New("the engine is draining")
	errRefused   = errors.New("the engine refuses requests")
	errTooLong   = errors.New("prompt and max_tokens are over the engine's memory")
	errModel     = errors.New("the engine does not have this model")
)

func readSubmission(w http.ResponseWriter, r *http.Request, poison string) (submission, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return submission{}, err
	}
	read := submission{
		id:       r.Header.Get("X-Request-Id"),
		chat:     strings.HasSuffix(r.URL.Path, "/chat/completions"),
		poisoned: poison != "" && strings.Contains(string(body), poison),
	}
	if err := json.Unmarshal(body, &read.request); err != nil {
		return submission{}, err
	}
	if !read.request.Stream {
		return submission{}, errors.New("stream must be true")
	}
	if priority := r.Header.Get("X-Priority"); priority != "" {
		if read.priority, err = strconv.Atoi(priority); err != nil {
			return submission{}, errors.Wrap(err, "X-Priority")
		}
	}

	return read, nil
}

// submit queues a request and returns its stream with a reader.
func (e *Emulator) submit(submitted submission, now time.Time) (*stream, chan struct{}, error) {
	if err := e.refuses(submitted, now); err != nil {
		return nil, nil, err
	}

	e.sequence++
	if submitted.id == "" {
		submitted.id = e.settings.Name + "-" + strconv.FormatUint(e.sequence, 10)
	}
	text := submitted.request.text()
	limit := limitOf(submitted.request)
	length := submitted.request.Length
	if length <= 0 {
		length = e.drawLength()
	}
	s := &stream{
		id:       submitted.id,
		model:    submitted.request.Model,
		chat:     submitted.chat,
		priority: submitted.priority,
		order:    e.sequence,
		poisoned: submitted.poisoned,
		blocks:   blocksOf(text),
		prompt:   tokensOf(text),
		length:   min(length, limit),
		reason:   "stop",
		state:    stateQueued,
	}
	if length > limit {
		s.reason = "length"
	}
	reader := s.subscribe()
	e.streams[s.id] = s
	e.waiting.add(s)
	e.audit.Accepted++
	e.nudge()

	return s, reader, nil
}

// refuses returns why a request is not accepted.
func (e *Emulator) refuses(submitted submission, now time.Time) error {
	if _, known := e.streams[submitted.id]; known {
		return errDuplicate
	}
	if _, known := e.ids.find(submitted.id, now); known {
		return errDuplicate
	}
	if model := e.orders.current.Model; model != "" && submitted.request.Model != model {
		return errModel
	}
	if tokensOf(submitted.request.text())+limitOf(submitted.request)+e.settings.Slots >= e.settings.KVTokens {
		return errTooLong
	}
	if e.faults.Refuse {
		return errRefused
	}
	if e.orders.draining() {
		return errDraining
	}
	if len(e.waiting.streams) >= e.settings.Waiting {
		return errFull
	}

	return nil
}

func limitOf(r request) int {
	if r.MaxTokens <= 0 {
		return defaultMaxTokens
	}

	return r.MaxTokens
}

func tokensOf(text []byte) int {
	return max(1, (len(text)+bytesPerToken-1)/bytesPerToken)
}

func (e *Emulator) drawLength() int {
	return max(1, int(math.Exp(meanLog+deviationLog*e.random.NormFloat64())))
}

// answerRefusal answers a request that was not accepted.
func answerRefusal(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errDuplicate):
		responder.Error(w, http.StatusConflict, "duplicate", err.Error())
	case errors.Is(err, errModel):
		w.Header().Set("X-Started", "false")
		responder.Error(w, http.StatusNotFound, "model", err.Error())
	case errors.Is(err, errTooLong):
		w.Header().Set("X-Started", "false")
		responder.Error(w, http.StatusBadRequest, "too-long", err.Error())
	case errors.Is(err, errFull):
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
