package profiler

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/controller"
	"github.com/oleanderpick/oleanderpick/pkg/balancer"
)

// prefixesPerPrompt are the hashes that a prompt of the mean length has.
const prefixesPerPrompt = 6

// traffic sends the node its part of the fleet's requests.
type traffic struct {
	plan     Plan
	control  *controller.Controller
	random   *rand.Rand
	next     time.Time
	sent     int
	placed   chan *controller.Ticket
	flights  []*flight
	progress every
}

// flight is a request that an endpoint answers.
type flight struct {
	ticket *controller.Ticket
	begun  time.Time
	tokens int
}

func newTraffic(plan Plan, control *controller.Controller, seed uint64) *traffic {
	return &traffic{
		plan:     plan,
		control:  control,
		random:   rand.New(rand.NewPCG(seed, 2)),
		next:     start,
		placed:   make(chan *controller.Ticket, queueLimit),
		progress: every{interval: progressInterval},
	}
}

// step lets requests arrive, go on and end.
func (t *traffic) step(ctx context.Context, now time.Time) {
	for !t.next.After(now) {
		t.admit(ctx, now)
		gap := t.random.ExpFloat64() * float64(t.plan.Instances) / t.plan.Requests
		t.next = t.next.Add(time.Duration(gap * float64(time.Second)))
	}
	t.collect(now)
	if t.progress.due(now) {
		t.advance(now)
	}
	t.control.InFlight()
}

// admit sends one request and waits until the controller has it.
func (t *traffic) admit(ctx context.Context, now time.Time) {
	sent := &sentContext{Context: ctx, sent: make(chan struct{})}
	request := t.request(now)
	go func() {
		ticket, err := t.control.Admit(sent, request)
		if err == nil {
			t.placed <- ticket
		}
	}()
	<-sent.sent
}

// sentContext tells when an admission begins to wait: its event is then sent.
type sentContext struct {
	context.Context
	once sync.Once
	sent chan struct{}
}

// Done is part of context.Context.
func (s *sentContext) Done() <-chan struct{} {
	s.once.Do(func() { close(s.sent) })

	return s.Context.Done()
}

func (t *traffic) request(now time.Time) controller.Request {
	t.sent++
	prefixes := make([]uint64, prefixesPerPrompt)
	for i := range prefixes {
		prefixes[i] = t.random.Uint64()
	}
	owner := t.random.IntN(t.plan.Workspaces)
	tier := owner % t.plan.Tiers

	return controller.Request{
		Service:         modelService,
		Model:           t.plan.model(t.random.IntN(t.plan.Models)),
		Class:           t.plan.class(tier),
		Tier:            tier,
		Workspace:       workspace(owner),
		PromptTokens:    promptTokens,
		MaxAnswerTokens: 4 * answerTokens,
		Prefixes:        prefixes,
		Fingerprint:     t.random.Uint64(),
		Deadline:        now.Add(time.Minute),
	}
}

// collect takes in the requests that were placed.
func (t *traffic) collect(now time.Time) {
	for {
		select {
		case ticket := <-t.placed:
			tokens := 1 + int(t.random.ExpFloat64()*answerTokens)
			t.flights = append(t.flights, &flight{ticket: ticket, begun: now, tokens: min(tokens, 4*answerTokens)})
		default:
			return
		}
	}
}

// advance tells the progress of all requests and ends those that are done.
func (t *traffic) advance(now time.Time) {
	running := t.flights[:0]
	for _, f := range t.flights {
		made := int(now.Sub(f.begun) / tokenGap)
		if made >= f.tokens {
			f.ticket.Finish(balancer.Finished, f.tokens)
			continue
		}
		f.ticket.RecordProgress(made)
		running = append(running, f)
	}
	clear(t.flights[len(running):])
	t.flights = running
}
