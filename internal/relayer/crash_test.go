package relayer_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/isolator"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// crashingEndpoints are endpoints that crash when they begin to answer a prompt with the
// block poisonBlock, and come back after crashDowntime. They break off all answers that
// they are sending then.
type crashingEndpoints struct {
	*harness

	poisonArrivals []time.Time // when requests with poisonBlock reached an endpoint
	crashes        []time.Time
	isDown         map[string]bool // by endpoint ID
}

const (
	poisonBlock   = "bad"
	crashDowntime = 2 * time.Second
)

// crashWay is what an endpoint does with the answer that crashes it, before its connections
// end or fall silent.
type crashWay struct {
	beginAnswer func(http.ResponseWriter)
	isSilent    bool
}

// serveCrashingEndpoints registers so many endpoints.
func (h *harness) serveCrashingEndpoints(count int, way crashWay) *crashingEndpoints {
	h.confirmConfiguration()
	c := &crashingEndpoints{harness: h, isDown: map[string]bool{}}
	endpoints := make([]registrar.Endpoint, 0, count)
	for i := range count {
		id := fmt.Sprint("e", i)
		endpoints = append(endpoints, registrar.Endpoint{ID: id, Service: "api", Address: id + ":80", Slots: 64})
		h.network.Serve(id, c.handler(id, way))
	}
	h.dispatcher.ApplyListing(h.bootClock(), 0, endpoints)
	h.registered = endpoints

	return c
}

// handler returns the handler of one endpoint.
func (c *crashingEndpoints) handler(id string, way crashWay) http.HandlerFunc {
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
		if !c.recordCrash(id) {
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		way.beginAnswer(w)
		if way.isSilent {
			c.network.Silence(id)
			time.Sleep(crashDowntime)
		}
		c.network.Stop(id)
		time.AfterFunc(crashDowntime, func() {
			c.mu.Lock()
			delete(c.isDown, id)
			c.mu.Unlock()
			c.network.Serve(id, c.handler(id, way))
		})
	}
}

// recordCrash records that an endpoint crashes, unless another request has crashed it.
func (c *crashingEndpoints) recordCrash(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isDown[id] {
		return false
	}
	c.isDown[id] = true
	c.crashes = append(c.crashes, time.Now())

	return true
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
	withoutLength := func(w http.ResponseWriter) { w.Header().Set("Transfer-Encoding", "identity") }
	for name, test := range map[string]struct {
		path string
		way  crashWay
	}{
		"stream":                    {"/stream/", crashWay{beginAnswer: writeHalfEvent}},
		"resumable stream":          {"/resume/", crashWay{beginAnswer: writeHalfEvent}},
		"no answer":                 {"/stream/", crashWay{beginAnswer: func(http.ResponseWriter) {}}},
		"silence":                   {"/stream/", crashWay{beginAnswer: writeHalfEvent, isSilent: true}},
		"silence, resumable stream": {"/resume/", crashWay{beginAnswer: writeHalfEvent, isSilent: true}},
		"end of a stream without length": {"/stream/", crashWay{beginAnswer: func(w http.ResponseWriter) {
			withoutLength(w)
			writeHalfEvent(w)
		}}},
		"end after the headers": {"/resume/", crashWay{beginAnswer: func(w http.ResponseWriter) {
			withoutLength(w)
			_ = http.NewResponseController(w).Flush()
		}}},
		"end of an event of a stream without length": {"/stream/", crashWay{beginAnswer: func(w http.ResponseWriter) {
			withoutLength(w)
			_, _ = io.WriteString(w, "id: 1\ndata: piece 1\n\n")
			_ = http.NewResponseController(w).Flush()
		}}},
	} {
		t.Run(name, func(t *testing.T) {
			path := test.path
			runWithHarness(t, func(t *testing.T, h *harness) {
				c := h.serveCrashingEndpoints(12, test.way)
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
				t.Logf("%d requests with the block reached endpoints, %d crashes", len(c.poisonArrivals), len(c.crashes))
				assert.Assert(t, arrivals <= 3, "%d requests with the block after the fifth of %d crashes", arrivals, len(c.crashes))
				assert.Assert(t, served >= sent*9/10, "%d of %d sound requests served", served, sent)
				c.assertHeldBack(path, poisonBlock)
			})
		})
	}
}

// assertHeldBack checks that a request whose prompt has the block is refused at once, as
// not run, and reaches no endpoint.
func (c *crashingEndpoints) assertHeldBack(path, block string) {
	c.t.Helper()
	before, sentAt := len(c.poisonArrivals), time.Now()
	request := c.newRequest(http.MethodPost, path+"last", "")
	request.Header.Set("X-Blocks", "1 "+block+" f00d")
	response, body, err := c.send(request)
	assert.NilError(c.t, err)
	assert.Equal(c.t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(c.t, body, `{"error":"held-back","outcome":"not-run"}`)
	assert.Assert(c.t, response.Header.Get("Retry-After") != "")
	assert.Equal(c.t, time.Since(sentAt), time.Duration(0))
	assert.Equal(c.t, len(c.poisonArrivals), before)
}

// writeHalfEvent writes half an event.
func writeHalfEvent(w http.ResponseWriter) {
	_, _ = io.WriteString(w, "id: 99\ndata: pie")
	_ = http.NewResponseController(w).Flush()
}

// Guards against crashes that nobody notices, because no other request reaches the crashed
// endpoint while it is down: a request that crashes endpoints is then sent on for ever.
func TestRequestThatCrashesEndpointsIsStoppedWithoutOtherRequests(t *testing.T) {
	const interval = 5 * time.Second
	runWithHarness(t, func(t *testing.T, h *harness) {
		c := h.serveCrashingEndpoints(12, crashWay{beginAnswer: func(http.ResponseWriter) {}})
		for range 20 {
			h.confirmConfiguration()
			request := h.newRequest(http.MethodPost, "/once/same", "the same body")
			request.Header.Set("X-Blocks", poisonBlock)
			_, _, _ = h.send(request)
			time.Sleep(interval)
		}
		assert.Assert(t, len(c.crashes) <= 3+3, "%d crashes", len(c.crashes))
	})
}

// Guards against the crash of an endpoint that falls silent being noticed only when the
// caller of a stream that may not be repeated gives up.
func TestSilentCrashIsNoticedWhileTheCallerWaits(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveCrashingEndpoints(2, crashWay{beginAnswer: writeHalfEvent, isSilent: true})
		go h.sendPrompt("/stream/", "1", "1", poisonBlock)
		time.Sleep(1800 * time.Millisecond)
		assert.Assert(t, h.relayer.InFlight() > 0)
		assert.Assert(t, h.dispatcher.HasBlockRecords())
	})
}

// Guards against a block that crashes endpoints being taken for sound because an endpoint
// answered a request with it with a failure of its own.
func TestFailureOfAnEndpointDoesNotClearABlock(t *testing.T) {
	const block = 0xbad
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.serveEndpoints(respondWithStatus(http.StatusInternalServerError, false))
		for _, crashed := range []string{"e8", "e9"} {
			placement := dispatcher.Placement{Choice: placer.Choice{EndpointID: crashed}}
			h.dispatcher.RecordBrokenAnswer(placement, dispatcher.BrokenAnswer{Blocks: []uint64{block}, BrokenAt: time.Now()})
			h.dispatcher.RecordEndpointDown(placement)
			assert.Equal(t, h.dispatcher.DecideBlocks([]uint64{block}) == isolator.Quarantined, crashed == "e9")
			if crashed == "e8" {
				request := h.newRequest(http.MethodPost, "/once/x", "")
				request.Header.Set("X-Blocks", "bad f00d")
				response, _, err := h.send(request)
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusInternalServerError)
			}
			time.Sleep(time.Second)
		}
	})
}
