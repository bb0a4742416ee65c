// Command embed shows how a program uses the scheduler and the balancer of the router in
// its HTTP handler.
package main

import (
	"log"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/balancer"
	"github.com/oleanderpick/oleanderpick/pkg/scheduler"
)

// handler answers each request with the name of the endpoint that was chosen for it.
type handler struct {
	mu        sync.Mutex
	lastID    uint64
	scheduler *scheduler.Scheduler
	balancer  *balancer.Balancer
}

// newHandler returns a handler with two endpoints in different data centres, each with one
// slot.
func newHandler(now time.Time) *handler {
	h := &handler{
		scheduler: scheduler.New(scheduler.Settings{}),
		balancer:  balancer.New(balancer.Settings{DataCentre: "here"}, rand.New(rand.NewPCG(1, 2))),
	}
	h.balancer.Configure(now, []balancer.Endpoint{
		{Name: "near", Service: "pool", DataCentre: "here", Models: []string{"m"}, Slots: 1},
		{Name: "far", Service: "pool", DataCentre: "there", Models: []string{"m"}, Slots: 1},
	})
	return h
}

// ServeHTTP queues a request, dispatches the queue and writes the name of the chosen
// endpoint, or status 503 if no endpoint has capacity.
func (h *handler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, request, endpoint := time.Now(), balancer.Request{Service: "pool", Model: "m", TotalTokens: 100}, ""
	h.lastID++
	h.scheduler.Enqueue(now, scheduler.Request{ID: h.lastID, Lane: "pool/m", Cost: request.TotalTokens})
	h.scheduler.Dispatch(now, func(queued scheduler.Request) bool {
		choice, ok := h.balancer.Pick(now, request, nil)
		if ok {
			h.balancer.RecordStart(now, queued.ID, choice.Endpoint, request)
			endpoint = choice.Endpoint
		}
		return ok
	})
	if endpoint == "" {
		h.scheduler.Cancel(now, h.lastID)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write([]byte(endpoint))
}

func main() {
	log.Fatal((&http.Server{Addr: "127.0.0.1:8080", Handler: newHandler(time.Now()), ReadTimeout: time.Second}).ListenAndServe())
}
