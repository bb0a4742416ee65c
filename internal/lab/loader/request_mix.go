package loader

import (
	"math"
	"time"
)

// Work is the type of the requests of a class.
type Work int

// The types of requests.
const (
	// Chat is a streamed chat completion.
	Chat Work = iota
	// Booking is a call to a plain service that isn't idempotent: it must run at most
	// once.
	Booking
	// Quote is an idempotent call to a plain service.
	Quote
)

// Targets are the latency targets of a class. A zero field is no target.
type Targets struct {
	// FirstToken is the target of the time to the first token.
	FirstToken time.Duration
	// BetweenTokens is the target of the time between two tokens.
	BetweenTokens time.Duration
	// Whole is the target of the time to the end of the answer.
	Whole time.Duration
}

// Class describes the requests of one service class.
type Class struct {
	// Name is the name of the service class.
	Name string
	Work Work
	// Share is the class's part of the arrivals, relative to the weights of the other
	// classes.
	Share float64
	// Prompt is the mean size of the prompts, in bytes.
	Prompt int
	// Median and AnswerTokensSigma are the parameters of the log-normal
	// distribution of the answers' lengths in tokens: its median, and the standard
	// deviation of its logarithm.
	Median            float64
	AnswerTokensSigma float64
	// Reserve is the max_tokens of a request, as a multiple of the mean
	// length of the answers. Answers are cut off at max_tokens.
	Reserve float64
	// SharedPrefixFraction is the fraction of prompts that begin with one of
	// SharedPrefixCount texts, each of half the mean size of a prompt.
	SharedPrefixFraction float64
	SharedPrefixCount    int
	// AbandonFraction is the fraction of callers that disconnect halfway through the
	// answer.
	AbandonFraction float64
	Deadline        time.Duration
	Targets         Targets
}

// meanAnswerTokens returns the mean length of the class's answers, in tokens.
func (c Class) meanAnswerTokens() float64 {
	return c.Median * math.Exp(c.AnswerTokensSigma*c.AnswerTokensSigma/2)
}

// maxTokens returns the max_tokens of the class's requests.
func (c Class) maxTokens() int {
	return max(1, int(math.Round(c.meanAnswerTokens()*c.Reserve)))
}

// Workspace is one workspace whose callers send requests.
type Workspace struct {
	// Token is the API key that its callers send as bearer token.
	Token string
	// Share is the workspace's part of the arrivals, relative to the weights of the other
	// workspaces.
	Share float64
}

// Burst multiplies the arrival rate between two offsets from the start of the run. If
// ClassName is set, it affects only that class, and if WorkspaceAPIKey is set, only that
// workspace.
type Burst struct {
	Class     string
	Workspace string // The workspace's API key.
	From      time.Duration
	Until     time.Duration
	Factor    float64
}

// Mix describes the requests of a run: how many arrive, of which classes and from
// which workspaces.
type Mix struct {
	// Rate is the number of arrivals per second outside of bursts.
	Rate       float64
	Classes    []Class
	Workspaces []Workspace
	Bursts     []Burst
}

// WithRate returns a copy of the request mix with another arrival rate, per second.
func (m Mix) WithRate(perSecond float64) Mix {
	m.Rate = perSecond

	return m
}

// WithReserve returns a copy of the request mix with the same MaxTokensFactor for all
// classes.
func (m Mix) WithReserve(factor float64) Mix {
	m.Classes = append([]Class(nil), m.Classes...)
	for i := range m.Classes {
		m.Classes[i].Reserve = factor
	}

	return m
}

// MeanTokens returns the mean length of the answers over all requests, in tokens.
// Calls to a plain service count as zero.
func (m Mix) MeanTokens() float64 {
	return m.weightedMean(Class.meanAnswerTokens)
}

// MeanPrompt returns the mean size of the prompts over all requests, in bytes.
// Calls to a plain service count as zero.
func (m Mix) MeanPrompt() float64 {
	return m.weightedMean(func(c Class) float64 { return float64(c.Prompt) })
}

// weightedMean returns the mean of a value over the classes, weighted by their arrivals;
// the value of a class without chat requests is zero.
func (m Mix) weightedMean(value func(Class) float64) float64 {
	sum, weights := 0.0, 0.0
	for _, class := range m.Classes {
		weights += class.Share
		if class.Work == Chat {
			sum += class.Share * value(class)
		}
	}
	if weights == 0 {
		return 0
	}

	return sum / weights
}

// Standard returns a request mix of short chat replies, appraisals that a
// customer waits for, long notes and background work.
func Standard() Mix {
	return Mix{
		Rate: 10,
		Classes: []Class{
			{
				Name: "chat", Share: 0.4, Prompt: 800, Median: 60, AnswerTokensSigma: 0.6, Reserve: 8, SharedPrefixFraction: 0.8, SharedPrefixCount: 8,
				Deadline: 10 * time.Second,
				Targets:  Targets{FirstToken: 360 * time.Millisecond, BetweenTokens: 44 * time.Millisecond},
			},
			{
				Name: "appraisal", Share: 0.2, Prompt: 2400, Median: 120, AnswerTokensSigma: 0.5, Reserve: 8, SharedPrefixFraction: 0.5, SharedPrefixCount: 8,
				Deadline: 20 * time.Second,
				Targets:  Targets{FirstToken: 800 * time.Millisecond, BetweenTokens: 60 * time.Millisecond},
			},
			{
				Name: "notes", Share: 0.2, Prompt: 8000, Median: 300, AnswerTokensSigma: 0.7, Reserve: 8, SharedPrefixFraction: 0.2, SharedPrefixCount: 4,
				Deadline: 60 * time.Second,
				Targets:  Targets{Whole: 40 * time.Second},
			},
			{
				Name: "background", Share: 0.2, Prompt: 3000, Median: 200, AnswerTokensSigma: 0.9, Reserve: 8,
				Deadline: 120 * time.Second,
				Targets:  Targets{Whole: 110 * time.Second},
			},
		},
		Workspaces: []Workspace{{Token: "token-0", Share: 1}},
	}
}
