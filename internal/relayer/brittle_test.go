package relayer_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// brittleEndpoints let no request wait, and one that rejects more than maxRejections requests in
// a second falls over for a time.
type brittleEndpoints struct {
	*harness

	slots, maxRejections int

	mu         sync.Mutex
	running    map[string]int
	rejections map[string][]time.Time
	falls      int
	served     int
}

const (
	brittleRunTime  = 100 * time.Millisecond
	brittleDowntime = 3 * time.Second
)

// serveBrittle registers so many brittle endpoints.
func (h *harness) serveBrittle(count, slots, maxRejections int) *brittleEndpoints {
	b := &brittleEndpoints{harness: h, slots: slots, maxRejections: maxRejections, running: map[string]int{}, rejections: map[string][]time.Time{}}
	h.confirmConfiguration()
	for i := range count {
		id := fmt.Sprint("e", i)
		h.registered = append(h.registered, registrar.Endpoint{ID: id, Service: "api", Address: id + ":80", Slots: slots, Version: "v1"})
		h.network.Serve(id, b.handler(id))
	}
	h.dispatcher.ApplyListing(h.bootClock(), 0, h.registered)

	return b
}

func (b *brittleEndpoints) handler(id string) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set("X-Id", request.Header.Get("X-Id"))
		w.Header().Set("X-Brittle", strconv.Itoa(b.maxRejections))
		if !b.admit(id) {
			respondWithStatus(http.StatusServiceUnavailable, true)(w, request)

			return
		}
		time.Sleep(brittleRunTime)
		b.mu.Lock()
		b.running[id]--
		b.served++
		b.mu.Unlock()
		_, _ = w.Write([]byte("answer"))
	}
}

// admit reports whether an endpoint has a free slot, and takes it. The endpoint falls over if it
// has rejected too many requests.
func (b *brittleEndpoints) admit(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running[id] < b.slots {
		b.running[id]++

		return true
	}
	recent := b.rejections[id]
	recent = append(recent, time.Now())
	for time.Since(recent[0]) > time.Second {
		recent = recent[1:]
	}
	b.rejections[id] = recent
	if len(recent) > b.maxRejections {
		b.falls++
		b.rejections[id] = nil
		time.AfterFunc(0, func() { b.network.Stop(id) })
		time.AfterFunc(brittleDowntime, func() { b.network.Serve(id, b.handler(id)) })
	}

	return false
}

func (b *brittleEndpoints) servedCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.served
}

// Guards against a fleet whose instances together let endpoints reject so many requests that
// they fall over, although the endpoints say that they are brittle. The endpoints must still
// be used.
func TestBrittleEndpointsDoNotFallOverUnderOverload(t *testing.T) {
	for _, test := range []struct{ instances, endpoints, slots, maxRejections int }{
		{7, 6, 6, 3}, {7, 3, 6, 1}, {12, 12, 16, 4},
	} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				b := h.serveBrittle(test.endpoints, test.slots, test.maxRejections)
				instances := make([]fleetInstance, test.instances)
				for n := range instances {
					instances[n] = h.startInstance(n)
				}
				defer func() {
					for _, i := range instances {
						i.stop()
					}
				}()
				time.Sleep(2 * time.Second)
				const duration, settled = 15 * time.Second, 5 * time.Second
				capacity := float64(test.endpoints*test.slots) / brittleRunTime.Seconds() // requests a second
				interval := time.Duration(float64(time.Second) / capacity)
				var callers sync.WaitGroup
				servedBefore, start := 0, time.Now()
				for n := 0; time.Since(start) < duration; n++ {
					if time.Since(start) < settled {
						servedBefore = b.servedCount()
					}
					if n%100 == 0 {
						for _, i := range instances {
							i.confirmConfiguration(h)
						}
					}
					overload := interval / 2
					if time.Since(start) < settled { // A calm time in which all learn that the endpoints are brittle.
						overload = 4 * interval
					}
					callers.Go(func() {
						request := h.newRequest(http.MethodPost, "/once/x", "")
						request.URL.Host, request.Host = fmt.Sprint("front-", n%test.instances), "front"
						request.Header.Set("X-Id", fmt.Sprint("r", n))
						_, _, _ = h.send(request)
					})
					time.Sleep(overload)
				}
				callers.Wait()
				used := float64(b.servedCount()-servedBefore) / capacity / (duration - settled).Seconds()
				t.Logf("%d falls, %.2f of the capacity used", b.falls, used)
				assert.Assert(t, b.falls <= 2+test.endpoints/10, "%d falls of %d endpoints", b.falls, test.endpoints)
				assert.Assert(t, used >= 0.5, "%.2f of the capacity used", used)
			})
		})
	}
}
