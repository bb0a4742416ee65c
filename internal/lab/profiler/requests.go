package profiler

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/controller"
	"github.com/oleanderpick/oleanderpick/pkg/balancer"
)

// prefixHashesPerPrompt is the number of prefix hashes of a prompt of mean length.
const prefixHashesPerPrompt = 6

// requestGenerator sends the measured instance its share of the plan's requests, and
// simulates the endpoints that answer them.
type requestGenerator struct {
	plan            Plan
	controller      *controller.Controller
	random          *rand.Rand
	nextArrival     time.Time
	requestCount    int // requests sent so far
	placedTickets   chan *controller.Ticket
	runningRequests []*runningRequest
	progressTimer   intervalTimer
}

// runningRequest is a placed request, whose answer an endpoint is producing.
// answerTokens is the length that the answer will have.
type runningRequest struct {
	ticket       *controller.Ticket
	startedAt    time.Time
	answerTokens int
}

// newRequestGenerator returns a generator whose first request arrives at simulationStart.
func newRequestGenerator(plan Plan, control *controller.Controller, seed uint64) *requestGenerator {
	return &requestGenerator{
		plan:          plan,
		controller:    control,
		random:        rand.New(rand.NewPCG(seed, 2)),
		nextArrival:   simulationStart,
		placedTickets: make(chan *controller.Ticket, maxWaitingRequests),
		progressTimer: intervalTimer{interval: progressInterval},
	}
}

// step sends the requests that have arrived by now, and advances and ends the running
// ones. It returns when the controller has processed all of this.
func (g *requestGenerator) step(ctx context.Context, now time.Time) {
	for !g.nextArrival.After(now) {
		g.admit(ctx, now)
		gap := g.random.ExpFloat64() * float64(g.plan.Instances) / g.plan.RequestsPerSecond
		g.nextArrival = g.nextArrival.Add(time.Duration(gap * float64(time.Second)))
	}
	g.collectPlaced(now)
	if g.progressTimer.fireIfDue(now) {
		g.advanceAnswers(now)
	}
	g.controller.InFlight()
}

// admit sends one request to the controller, and returns when its event is in the
// controller's queue. The ticket is received on placedTickets later.
func (g *requestGenerator) admit(ctx context.Context, now time.Time) {
	signal := &waitSignalContext{Context: ctx, waiting: make(chan struct{})}
	request := g.newRequest(now)
	go func() {
		ticket, err := g.controller.Admit(signal, request)
		if err == nil {
			g.placedTickets <- ticket
		}
	}()
	<-signal.waiting
}

// waitSignalContext closes waiting at the first call of Done. Controller.Admit calls Done
// only after it has sent its event, when it begins to wait for the result.
type waitSignalContext struct {
	context.Context
	closeOnce sync.Once
	waiting   chan struct{}
}

// Done implements context.Context.
func (c *waitSignalContext) Done() <-chan struct{} {
	c.closeOnce.Do(func() { close(c.waiting) })

	return c.Context.Done()
}

// newRequest returns a request of a random workspace for a random model. No two
// requests share a prefix.
func (g *requestGenerator) newRequest(now time.Time) controller.Request {
	g.requestCount++
	prefixes := make([]uint64, prefixHashesPerPrompt)
	for i := range prefixes {
		prefixes[i] = g.random.Uint64()
	}
	workspaceIndex := g.random.IntN(g.plan.Workspaces)
	tier := workspaceIndex % g.plan.Tiers

	return controller.Request{
		Service:         modelServiceName,
		Model:           g.plan.modelName(g.random.IntN(g.plan.Models)),
		Class:           g.plan.className(tier),
		Tier:            tier,
		Workspace:       workspaceName(workspaceIndex),
		PromptTokens:    promptTokens,
		MaxAnswerTokens: 4 * meanAnswerTokens,
		Prefixes:        prefixes,
		Fingerprint:     g.random.Uint64(),
		Deadline:        now.Add(time.Minute),
	}
}

// collectPlaced starts the requests that were placed since the last call. The lengths
// of their answers are exponentially distributed up to a limit.
func (g *requestGenerator) collectPlaced(now time.Time) {
	for {
		select {
		case ticket := <-g.placedTickets:
			answerTokens := 1 + int(g.random.ExpFloat64()*meanAnswerTokens)
			g.runningRequests = append(g.runningRequests, &runningRequest{ticket: ticket, startedAt: now, answerTokens: min(answerTokens, 4*meanAnswerTokens)})
		default:
			return
		}
	}
}

// advanceAnswers reports to the controller how many tokens each running request has
// produced, and finishes those whose answers are complete.
func (g *requestGenerator) advanceAnswers(now time.Time) {
	stillRunning := g.runningRequests[:0]
	for _, request := range g.runningRequests {
		producedTokens := int(now.Sub(request.startedAt) / tokenInterval)
		if producedTokens >= request.answerTokens {
			request.ticket.Finish(balancer.Finished, request.answerTokens)
			continue
		}
		request.ticket.RecordProgress(producedTokens)
		stillRunning = append(stillRunning, request)
	}
	clear(g.runningRequests[len(stillRunning):])
	g.runningRequests = stillRunning
}
