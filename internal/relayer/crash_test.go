package relayer_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// crashingEndpoints are endpoints that crash when they begin to answer a prompt with the
// block poisonBlock, and come back after crashDowntime. They break off all answers that
// they are sending then.
type crashingEndpoints struct {
	*harness

	poisonArrivals []time.Time // when requests with poisonBlock reached an endpoint
	crashes        []time.Time
}

const (
	poisonBlock   = "bad"
	crashDowntime = 2 * time.Second
)

// serveCrashingEndpoints registers so many endpoints. endAnswer is what one does with the
// answer that crashes it, before its connections end.
func (h *harness) serveCrashingEndpoints(count int, endAnswer func(io.Writer)) *crashingEndpoints {
	h.confirmConfiguration()
	c := &crashingEndpoints{harness: h}
	endpoints := make([]registrar.Endpoint, 0, count)
	for i := range count {
		id := fmt.Sprint("e", i)
		endpoints = append(endpoints, registrar.Endpoint{ID: id, Service: "api", Address: id + ":80", Slots: 64})
		h.network.Serve(id, c.handler(id, endAnswer))
	}
	h.dispatcher.ApplyListing(h.bootClock(), 0, endpoints)

	return c
}

// handler returns the handler of one endpoint.
func (c *crashingEndpoints) handler(id string, endAnswer func(io.Writer)) http.HandlerFunc {
	answer := streamEvents(10, nil)

	return func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set("X-Id", request.Header.Get("X-Id"))
		if !strings.Contains(request.Header.Get("X-Blocks"), poisonBlock) {
			answer(w, request)

			return
		}
		c.mu.Lock()
		c.poisonArrivals = append(c.poisonArrivals, time.Now())
		c.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		c.mu.Lock()
		c.crashes = append(c.crashes, time.Now())
		c.mu.Unlock()
		w.Header().Set("Content-Type", "text/event-stream")
		endAnswer(w)
		c.network.Stop(id)
		time.AfterFunc(crashDowntime, func() { c.network.Serve(id, c.handler(id, endAnswer)) })
	}
}

// poisonArrivalsAfterFifthCrash returns the number of requests with poisonBlock that
// reached an endpoint later than the delay after the fifth crash.
func (c *crashingEndpoints) poisonArrivalsAfterFifthCrash(delay time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < 5 {
		return 0
	}
	count := 0
	for _, at := range c.poisonArrivals {
		if at.After(c.crashes[4].Add(delay)) {
			count++
		}
	}

	return count
}

// sendPrompt sends a streaming request whose prompt has the blocks and reports whether the
// answer came whole. No two requests are alike.
func (h *harness) sendPrompt(path, number string, blocks ...string) bool {
	request := h.newRequest(http.MethodPost, path+number, "body "+number)
	request.Header.Set("X-Id", number)
	request.Header.Set("X-Blocks", strings.Join(append(blocks, "f00"+number), " "))
	response, body, err := h.send(request)

	return err == nil && response.StatusCode == http.StatusOK && strings.HasSuffix(body, "piece 10\n\n")
}

// Guards against requests that share one prompt block, and nothing else, crashing endpoint
// after endpoint, because each request is taken for the first of its kind. Sound requests
// that share the caller and the other blocks must still run.
func TestPromptBlockThatCrashesEndpointsIsStopped(t *testing.T) {
	const (
		interval = 250 * time.Millisecond
		duration = 40 * time.Second
		settled  = 20 * time.Second // the crashes are over long before
	)
	for _, path := range []string{"/stream/", "/resume/"} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				c := h.serveCrashingEndpoints(12, abortMidEventWithoutPanic)
				served, sent := 0, 0
				start := time.Now()
				for i := 0; time.Since(start) < duration; i++ {
					h.confirmConfiguration()
					go h.sendPrompt(path, fmt.Sprint(10_000+i), "1", "2", poisonBlock, "3")
					for j, blocks := range [][]string{{"1"}, {"1", "2"}, {"1", "2", "3"}} {
						if time.Since(start) < settled {
							go h.sendPrompt(path, fmt.Sprint(20_000+10*i+j), blocks...)

							continue
						}
						sent++
						if h.sendPrompt(path, fmt.Sprint(20_000+10*i+j), blocks...) {
							served++
						}
					}
					time.Sleep(interval)
				}
				arrivals := c.poisonArrivalsAfterFifthCrash(3 * time.Second)
				assert.Assert(t, arrivals <= 3, "%d requests with the block after the fifth of %d crashes", arrivals, len(c.crashes))
				assert.Assert(t, served >= sent*9/10, "%d of %d sound requests served", served, sent)
			})
		})
	}
}

// abortMidEventWithoutPanic writes half an event.
func abortMidEventWithoutPanic(w io.Writer) {
	_, _ = io.WriteString(w, "id: 99\ndata: pie")
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
}
