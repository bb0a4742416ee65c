// Command embed has the router's scheduler and balancer behind its own handler.
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

// placer answers each request with the endpoint that it would go to.
type placer struct {
	mu    sync.Mutex
	last  uint64
	queue *scheduler.Scheduler
	pool  *balancer.Balancer
}

func newPlacer(now time.Time) *placer {
	p := &placer{
		queue: scheduler.New(scheduler.Settings{}),
		pool:  balancer.New(balancer.Settings{DataCentre: "here"}, rand.New(rand.NewPCG(1, 2))),
	}
	p.pool.Configure(now, []balancer.Endpoint{
		{Name: "near", Service: "pool", DataCentre: "here", Models: []string{"m"}, Slots: 1},
		{Name: "far", Service: "pool", DataCentre: "there", Models: []string{"m"}, Slots: 1},
	})
	return p
}

// ServeHTTP queues a request, dispatches, and says where the request went.
func (p *placer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, ask, endpoint := time.Now(), balancer.Request{Service: "pool", Model: "m", TotalTokens: 100}, ""
	p.last++
	p.queue.Enqueue(now, scheduler.Request{ID: p.last, Lane: "pool/m", Cost: ask.TotalTokens})
	p.queue.Dispatch(now, func(request scheduler.Request) bool {
		choice, ok := p.pool.Pick(now, ask, nil)
		if ok {
			p.pool.RecordStart(now, request.ID, choice.Endpoint, ask)
			endpoint = choice.Endpoint
		}
		return ok
	})
	if endpoint == "" {
		p.queue.Cancel(now, p.last)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write([]byte(endpoint))
}

func main() {
	log.Fatal((&http.Server{Addr: "127.0.0.1:8080", Handler: newPlacer(time.Now()), ReadTimeout: time.Second}).ListenAndServe())
}
