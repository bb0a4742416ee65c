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
	maxFailure = 64 << 10
	// resendWait is the least time before a booking is sent again.
	resendWait = 200 * time.Millisecond
)

// caller sends one arrival's request and follows it to its end.
type caller struct {
	*Loader
	arrival Arrival
	class   Class
	due     time.Time
}

// outcome is how a caller's request ended.
type outcome struct {
	arrival Arrival
	answer
	due     time.Time
	sent    time.Time
	ended   time.Time
	resends int
	moved   int // Tries that found no router at an address.
}

func (c caller) call(ctx context.Context) outcome {
	deadline := c.class.Deadline
	if deadline == 0 {
		deadline = noDeadline
	}
	ctx, cancel := context.WithTimeout(ctx, deadline+grace)
	defer cancel()

	ended := outcome{arrival: c.arrival, due: c.due, sent: time.Now()}
	if c.class.RequestType == Chat {
		ended.answer, ended.moved = c.chat(ctx)
	} else {
		c.plain(ctx, &ended)
	}
	ended.ended = time.Now()

	return ended
}

// chat sends a chat request and reads its stream.
func (c caller) chat(ctx context.Context) (answer, int) {
	body, err := json.Marshal(completion{
		Model:     c.settings.Model,
		Messages:  []message{{Role: "user", Content: c.settings.RequestMix.prompt(c.arrival)}},
		MaxTokens: c.arrival.Limit,
		Stream:    true,
		Tokens:    c.arrival.Tokens,
	})
	if err != nil {
		return answer{result: broken}, 0
	}
	response, moved, err := c.send(ctx, try{method: http.MethodPost, path: "/v1/chat/completions", body: string(body)})
	if err != nil {
		return answer{result: broken}, moved
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return refusalOf(response), moved
	}
	leaveAt := 0
	if c.arrival.Leaves {
		leaveAt = (c.arrival.Tokens + 1) / 2
	}

	return check(response.Body, c.arrival.Tokens, leaveAt, time.Now), moved
}

// completion is the body of a chat request.
type completion struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	// Tokens is the true length of the answer; only the stand-in engine and
	// a router that is given the true lengths read it.
	Tokens int `json:"x_tokens"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// plain sends a call to a plain service. A booking whose outcome is not known
// is sent again to another router with the same key.
func (c caller) plain(ctx context.Context, ended *outcome) {
	for {
		var wait time.Duration
		ended.answer, wait = c.tryPlain(ctx, ended)
		uncertain := ended.result == unknown || ended.result == broken
		if c.class.RequestType != Booking || !uncertain || ended.resends == c.settings.Resends {
			return
		}
		ended.resends++
		if !sleepUntil(ctx, time.Now().Add(max(wait, resendWait))) {
			return
		}
	}
}

func (c caller) tryPlain(ctx context.Context, ended *outcome) (answer, time.Duration) {
	sent := try{method: http.MethodGet, path: "/services/" + c.settings.PlainServiceName + "/quotes", number: ended.resends}
	if c.class.RequestType == Booking {
		sent.method = http.MethodPost
		sent.path = "/services/" + c.settings.PlainServiceName + "/bookings"
		sent.body = `{"booking":"` + c.arrival.Key + `"}`
	}
	response, moved, err := c.send(ctx, sent)
	ended.moved += moved
	if err != nil {
		return answer{result: broken}, 0
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode/100 != 2 {
		return refusalOf(response), retryAfter(response)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return answer{result: broken}, 0
	}

	return answer{result: whole, first: time.Now()}, 0
}

func retryAfter(response *http.Response) time.Duration {
	wait, err := time.ParseDuration(response.Header.Get("Retry-After") + "s")
	if err != nil {
		return 0
	}

	return wait
}

// refusalOf returns what an answer that is not the wanted one says.
func refusalOf(response *http.Response) answer {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxFailure))
	if err != nil {
		return answer{result: broken}
	}
	told, kind := readFailure(body)
	if kind == "" {
		return answer{result: unknown, kind: response.Status}
	}

	return answer{result: told, kind: kind}
}

// try is one sending of a request.
type try struct {
	method string
	path   string
	body   string
	number int
}

// send sends a request to a router. An address where no connection can be
// opened is passed over for the next one.
func (c caller) send(ctx context.Context, t try) (response *http.Response, moved int, err error) {
	routers := c.settings.RouterURLs
	for ; moved < len(routers); moved++ {
		var connected bool
		base := routers[(c.arrival.Number+t.number+moved)%len(routers)]
		response, connected, err = c.sendTo(ctx, base, t)
		if err == nil || connected || ctx.Err() != nil {
			return response, moved, err
		}
	}

	return response, moved, err
}

func (c caller) sendTo(ctx context.Context, base string, t try) (*http.Response, bool, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, t.method, base+t.path, strings.NewReader(t.body))
	if err != nil {
		return nil, false, err
	}
	request.Header.Set("Authorization", "Bearer "+c.settings.RequestMix.Workspaces[c.arrival.Workspace].APIKey)
	request.Header.Set("X-Service-Class", c.class.Name)
	request.Header.Set("Content-Type", "application/json")
	if c.class.Deadline > 0 {
		request.Header.Set("X-Deadline", c.class.Deadline.String())
	}
	if c.settings.SendKnownLengths && c.arrival.Tokens > 0 {
		request.Header.Set("X-Known-Length", strconv.Itoa(c.arrival.Tokens))
	}
	if c.arrival.Key != "" {
		request.Header.Set("Idempotency-Key", c.arrival.Key)
		request.Header.Set("Idempotency-First", c.due.Format(time.RFC3339))
		request.Header.Set("Idempotency-Attempt", strconv.Itoa(t.number+1))
		// The library would send the call again on its own, as the same
		// attempt.
		request.GetBody = nil
	}
	response, err := c.client.Do(request)

	return response, connected.Load(), err
}
