package loader

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	maxErrorBodyBytes = 64 << 10
	// minResendDelay is the shortest time before a booking is sent again; the answer may
	// ask for a longer one.
	minResendDelay = 200 * time.Millisecond
)

// simulatedCaller sends the request of one arrival and reads its answer as a client would.
type simulatedCaller struct {
	*Loader
	arrival Arrival
	class   Class
	dueAt   time.Time
}

// requestOutcome is how the request of an arrival ended, after its last attempt.
type requestOutcome struct {
	arrival Arrival
	answer
	dueAt          time.Time
	sentAt         time.Time
	endedAt        time.Time
	resends        int
	skippedRouters int // How often no connection to a router could be opened.
}

// sendAndCheck sends the request, reads and checks the answer, and returns the outcome.
func (c simulatedCaller) sendAndCheck(ctx context.Context) requestOutcome {
	deadline := c.class.Deadline
	if deadline == 0 {
		deadline = defaultDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, deadline+answerGracePeriod)
	defer cancel()

	outcome := requestOutcome{arrival: c.arrival, dueAt: c.dueAt, sentAt: time.Now()}
	if c.class.RequestType == Chat {
		outcome.answer, outcome.skippedRouters = c.sendChat(ctx)
	} else {
		c.sendPlainCall(ctx, &outcome)
	}
	outcome.endedAt = time.Now()

	return outcome
}

// sendChat sends a chat request and checks the streamed answer. It also returns how many
// routers it skipped because no connection could be opened.
func (c simulatedCaller) sendChat(ctx context.Context) (answer, int) {
	body, err := json.Marshal(chatRequest{
		Model:        c.settings.Model,
		Messages:     []chatMessage{{Role: "user", Content: c.settings.RequestMix.promptText(c.arrival)}},
		MaxTokens:    c.arrival.MaxTokens,
		Stream:       true,
		AnswerTokens: c.arrival.AnswerTokens,
	})
	if err != nil {
		return answer{result: resultBroken}, 0
	}
	response, skippedRouters, err := c.sendToAnyRouter(ctx, attempt{method: http.MethodPost, path: "/v1/chat/completions", body: string(body)})
	if err != nil {
		return answer{result: resultBroken}, skippedRouters
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return readErrorResponse(response), skippedRouters
	}
	abandonAfter := 0
	if c.arrival.AbandonsAnswer {
		abandonAfter = (c.arrival.AnswerTokens + 1) / 2
	}

	return checkStream(response.Body, c.arrival.AnswerTokens, abandonAfter, time.Now), skippedRouters
}

// chatRequest is the JSON body of a chat completion request.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	// AnswerTokens is the true length of the answer. Only the emulated engine reads it,
	// and a router that is set to accept known lengths.
	AnswerTokens int `json:"x_tokens"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// sendPlainCall calls a plain service. It sends a booking that is in doubt again, to the
// next router and with the same idempotency key, at most MaxResends times.
func (c simulatedCaller) sendPlainCall(ctx context.Context, outcome *requestOutcome) {
	for {
		var wait time.Duration
		outcome.answer, wait = c.attemptPlainCall(ctx, outcome)
		inDoubt := outcome.result == resultUnknown || outcome.result == resultBroken
		if c.class.RequestType != Booking || !inDoubt || outcome.resends == c.settings.MaxResends {
			return
		}
		outcome.resends++
		if !sleepUntil(ctx, time.Now().Add(max(wait, minResendDelay))) {
			return
		}
	}
}

// attemptPlainCall sends a booking or a quote once. It also returns the delay that the
// answer's Retry-After asks for.
func (c simulatedCaller) attemptPlainCall(ctx context.Context, outcome *requestOutcome) (answer, time.Duration) {
	next := attempt{method: http.MethodGet, path: "/services/" + c.settings.PlainServiceName + "/quotes", number: outcome.resends}
	if c.class.RequestType == Booking {
		next.method = http.MethodPost
		next.path = "/services/" + c.settings.PlainServiceName + "/bookings"
		next.body = `{"booking":"` + c.arrival.IdempotencyKey + `"}`
	}
	response, skippedRouters, err := c.sendToAnyRouter(ctx, next)
	outcome.skippedRouters += skippedRouters
	if err != nil {
		return answer{result: resultBroken}, 0
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode/100 != 2 {
		return readErrorResponse(response), parseRetryAfter(response)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return answer{result: resultBroken}, 0
	}

	return answer{result: resultComplete, firstTokenAt: time.Now()}, 0
}

// parseRetryAfter returns the delay of the header Retry-After, given in seconds, or 0 if
// there is none.
func parseRetryAfter(response *http.Response) time.Duration {
	wait, err := time.ParseDuration(response.Header.Get("Retry-After") + "s")
	if err != nil {
		return 0
	}

	return wait
}

// readErrorResponse returns the result and the error kind of a response that isn't a
// success. Without an error kind, the result is unknown and the kind is the HTTP status.
func readErrorResponse(response *http.Response) answer {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	if err != nil {
		return answer{result: resultBroken}
	}
	parsedResult, kind := parseError(body)
	if kind == "" {
		return answer{result: resultUnknown, errorKind: response.Status}
	}

	return answer{result: parsedResult, errorKind: kind}
}

// attempt is one sending of a request; number counts the resends before it.
type attempt struct {
	method string
	path   string
	body   string
	number int
}

// sendToAnyRouter sends a request to a router, and to the next one in the list while no
// connection can be opened. It returns how many routers it skipped.
func (c simulatedCaller) sendToAnyRouter(ctx context.Context, a attempt) (response *http.Response, skippedRouters int, err error) {
	routers := c.settings.RouterURLs
	for ; skippedRouters < len(routers); skippedRouters++ {
		var connected bool
		baseURL := routers[(c.arrival.Index+a.number+skippedRouters)%len(routers)]
		response, connected, err = c.sendToRouter(ctx, baseURL, a)
		if err == nil || connected || ctx.Err() != nil {
			return response, skippedRouters, err
		}
	}

	return response, skippedRouters, err
}

// sendToRouter sends a request to one router and reports whether a connection was opened.
func (c simulatedCaller) sendToRouter(ctx context.Context, baseURL string, a attempt) (*http.Response, bool, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, a.method, baseURL+a.path, strings.NewReader(a.body))
	if err != nil {
		return nil, false, err
	}
	request.Header.Set("Authorization", "Bearer "+c.settings.RequestMix.Workspaces[c.arrival.WorkspaceIndex].APIKey)
	request.Header.Set("X-Service-Class", c.class.Name)
	request.Header.Set("Content-Type", "application/json")
	if c.class.Deadline > 0 {
		request.Header.Set("X-Deadline", c.class.Deadline.String())
	}
	if c.settings.SendKnownLengths && c.arrival.AnswerTokens > 0 {
		request.Header.Set("X-Known-Length", strconv.Itoa(c.arrival.AnswerTokens))
	}
	if c.arrival.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", c.arrival.IdempotencyKey)
		request.Header.Set("Idempotency-First", c.dueAt.Format(time.RFC3339))
		request.Header.Set("Idempotency-Attempt", strconv.Itoa(a.number+1))
		// With GetBody set, net/http could send the call again by itself, under the same
		// attempt number.
		request.GetBody = nil
	}
	response, err := c.client.Do(request)

	return response, connected.Load(), err
}
