package sharer_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/sharer"
)

// caller is a request of the model, with the outcome of its last attempt.
type caller struct {
	work               sharer.Work
	arrived, sent, due time.Time
	leavesAt           time.Time
	instance, retries  int
	remaining          float64
	decision           sharer.Decision
	impatient          bool
}

// modelEngine prefills prompts in the order of their tiers at a rate in tokens per second.
type modelEngine struct {
	rate  float64
	queue [2][]*caller
}

// pending returns the tokens to be prefilled for the instances in a range.
func (e *modelEngine) pending(from, to int) (sum float64) {
	for _, queue := range e.queue {
		for _, c := range queue {
			if c.instance >= from && c.instance < to {
				sum += c.remaining
			}
		}
	}

	return sum
}

// policy decides at an instance; nil stands for the sharer.
type policy func(now time.Time, m *model, instance int, work sharer.Work, room sharer.Room) (admitted bool, retryAfter time.Duration)

// model is a fleet before engines in virtual time, in steps of 5 ms.
type model struct {
	random       *rand.Rand
	now, start   time.Time
	engines      []*modelEngine
	sharers      []*sharer.Sharer
	views        [][]float64 // pending tokens by instance and engine, as known there
	lag          time.Duration
	shared       bool                             // one sharer decides for all instances
	cut          func(time.Duration) int          // instances before this index don't hear the others
	surge        func(time.Duration, int) float64 // demand factor at a time, by workspace
	loss         func(time.Duration) int          // engines that are lost
	policy       policy
	longRate     float64 // prompts per second of each workspace
	shortRate    float64
	workspaces   int
	retriers     float64
	returning    []*caller
	surge0       func(time.Duration, int) float64 // of tier 0; nil if only the first workspace surges
	sentIn       [21][2]int                       // requests by second and tier
	number       int
	heardAt      []time.Time
	inTime, all  [2]float64
	workspace    map[string]*[2]float64 // requests in time and all, by workspace
	wasted, done float64
	refusedFree  int
	again, back  int
	returnsAt    map[int64]int // by 50 ms
}

const (
	modelStep = 5 * time.Millisecond
	// modelSample is how many engines a request is compared at, so that instances don't all choose the same one.
	modelSample = 5
)

func newModel(seed uint64, instances, engines int) *model {
	m := &model{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), lag: 10 * time.Millisecond, workspaces: 24,
		cut: func(time.Duration) int { return 0 }, surge: func(time.Duration, int) float64 { return 1 }, loss: func(time.Duration) int { return 0 },
		workspace: map[string]*[2]float64{}, returnsAt: map[int64]int{}, heardAt: make([]time.Time, instances), retriers: 0.3,
		longRate: 0.75 * 49600 * float64(engines) / 30 / 3300, shortRate: 0.08 * 49600 * float64(engines) / 30 / 920,
	}
	m.start = m.now
	for range engines {
		m.engines = append(m.engines, &modelEngine{rate: 49600})
	}
	for range instances {
		s := sharer.New(sharer.Settings{})
		s.SetFleet(instances)
		m.sharers = append(m.sharers, s)
		m.views = append(m.views, make([]float64, engines))
	}

	return m
}

func (m *model) run(duration time.Duration) {
	for m.now.Sub(m.start) < duration {
		m.now = m.now.Add(modelStep)
		elapsed := m.now.Sub(m.start)
		m.hear(elapsed)
		m.work(elapsed)
		due := m.returning
		m.returning = nil
		for _, c := range due {
			if c.due.After(m.now) {
				m.returning = append(m.returning, c)
			} else {
				m.submit(c)
			}
		}
		for w := range m.workspaces {
			for tier, rate := range []float64{m.shortRate, m.longRate * m.surge(elapsed, w)} {
				if w < 3 {
					rate *= 3
				}
				if tier == 0 && m.surge0 != nil {
					rate *= m.surge0(elapsed, w)
				} else if w == 0 && tier == 0 {
					rate *= m.surge(elapsed, w)
				}
				for n := rate * modelStep.Seconds(); n > 0 && m.random.Float64() < n; n-- {
					m.arrive(w, tier)
				}
			}
		}
	}
}

// hear lets instances learn of each other: the pending tokens after the lag, and claims of one in 250 ms.
func (m *model) hear(elapsed time.Duration) {
	for i, s := range m.sharers {
		for e, engine := range m.engines {
			switch {
			case elapsed%m.lag >= modelStep:
			case i > 0 && m.cut(elapsed) == 0:
				m.views[i][e] = m.views[0][e]
			default:
				from, to := 0, m.cut(elapsed)
				if i >= to {
					from, to = to, len(m.sharers)
				}
				m.views[i][e] = engine.pending(from, to)
				if e < m.loss(elapsed-500*time.Millisecond) {
					m.views[i][e] = math.Inf(1)
				}
			}
		}
		if m.now.Sub(m.heardAt[i]) < 250*time.Millisecond || m.shared {
			continue
		}
		m.heardAt[i] = m.now
		if j := m.random.IntN(len(m.sharers)); j != i && (i < m.cut(elapsed)) == (j < m.cut(elapsed)) {
			m.sharers[j].ReceiveClaims(m.now, strconv.Itoa(i), s.Claims(m.now))
		}
	}
}

func (m *model) arrive(workspace, tier int) {
	m.number++
	tokens := 300 + int(m.random.ExpFloat64()*600)
	if tier == 1 {
		tokens = 2400 + int(m.random.ExpFloat64()*900)
	}
	c := &caller{arrived: m.now, impatient: m.random.Float64() < m.retriers, work: sharer.Work{
		ID: strconv.Itoa(m.number), Service: "s", Tier: tier, Workspace: strconv.Itoa(workspace), Tokens: tokens, Target: 600 * time.Millisecond,
	}}
	c.leavesAt = m.now.Add(5 * time.Second)
	m.all[tier]++
	if m.workspace[c.work.Workspace] == nil {
		m.workspace[c.work.Workspace] = &[2]float64{}
	}
	m.workspace[c.work.Workspace][1]++
	m.submit(c)
}

// submit offers a request to any instance.
func (m *model) submit(c *caller) {
	if c.retries > 0 && !c.impatient {
		m.back++
		m.returnsAt[m.now.UnixNano()/int64(50*time.Millisecond)]++
	}
	c.instance = m.random.IntN(len(m.sharers))
	s, view := m.sharers[c.instance], m.views[c.instance]
	if m.shared {
		s, view = m.sharers[0], m.views[0]
	}
	best := m.random.IntN(len(m.engines))
	for range modelSample {
		if e := m.random.IntN(len(m.engines)); view[e] < view[best] {
			best = e
		}
	}
	own := float64(c.work.Tokens) / m.engines[best].rate
	room := sharer.Room{Expected: seconds(view[best]/m.engines[best].rate + own), Prefill: seconds(own), HasFreeSlot: true}
	c.work.TimeLeft = c.leavesAt.Sub(m.now)
	admitted, retryAfter := false, time.Duration(0)
	if m.policy != nil {
		admitted, retryAfter = m.policy(m.now, m, c.instance, c.work, room)
	} else {
		s.Want(m.now, c.work)
		c.decision = s.Admit(m.now, c.work, room)
		admitted, retryAfter = c.decision.Admitted, c.decision.RetryAfter
	}
	if !admitted {
		m.refuse(c, retryAfter)

		return
	}
	if m.policy == nil {
		s.Start(m.now, c.work)
	}
	m.sentIn[m.now.Sub(m.start)/time.Second][c.work.Tier]++
	view[best] += float64(c.work.Tokens)
	c.sent, c.remaining = m.now, float64(c.work.Tokens)
	e := m.engines[best]
	e.queue[c.work.Tier] = append(e.queue[c.work.Tier], c)
}

func (m *model) refuse(c *caller, retryAfter time.Duration) {
	for i, e := range m.engines {
		if e.pending(0, len(m.sharers)) == 0 && i >= m.loss(m.now.Sub(m.start)) {
			m.refusedFree++

			break
		}
	}
	if c.retries > 0 && !c.impatient {
		m.again++
	}
	c.retries++
	c.due = m.now.Add(retryAfter)
	if c.impatient && c.retries <= 3 {
		c.due = m.now.Add(modelStep)
	} else if c.impatient {
		c.impatient = false
	}
	if c.due.Before(c.leavesAt) {
		m.returning = append(m.returning, c)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// work lets the engines prefill for one step. A fifth of the callers leave at half their target.
func (m *model) work(elapsed time.Duration) {
	for i, e := range m.engines {
		budget := e.rate * modelStep.Seconds()
		for tier := range e.queue {
			kept := e.queue[tier][:0]
			for _, c := range e.queue[tier] {
				waited := m.now.Sub(c.sent)
				isGone := c.remaining == float64(c.work.Tokens) && c.work.Tokens%5 == 0 && waited > c.work.Target/2
				if i < m.loss(elapsed) || isGone {
					continue
				}
				used := min(budget, c.remaining)
				budget, c.remaining = budget-used, c.remaining-used
				if c.remaining > 0 {
					kept = append(kept, c)

					continue
				}
				m.finish(c, waited)
			}
			e.queue[tier] = kept
		}
	}
}

func (m *model) finish(c *caller, waited time.Duration) {
	m.done += float64(c.work.Tokens)
	if m.policy == nil {
		owner := c.instance
		if m.shared {
			owner = 0
		}
		m.sharers[owner].Finish(m.now, c.work, sharer.Outcome{Predicted: c.decision.Predicted, UntilFirstToken: waited})
	}
	if waited > c.work.Target {
		m.wasted += float64(c.work.Tokens)

		return
	}
	m.inTime[c.work.Tier]++
	m.workspace[c.work.Workspace][0]++
}
