package loader

import (
	"math"
	"time"
)

// RequestType is the type of the requests of a class.
type RequestType int

// The types of requests.
const (
	// Chat is a streamed chat completion.
	Chat RequestType = iota
	// Booking is a call to a plain service that isn't idempotent: it must run at most
	// once.
	Booking
	// Quote is an idempotent call to a plain service.
	Quote
)

// LatencyTargets are the latency targets of a class. A zero field is no target.
type LatencyTargets struct {
	// FirstToken is the target of the time to the first token.
	FirstToken time.Duration
	// TokenGap is the target of the time between two tokens.
	TokenGap time.Duration
	// Completion is the target of the time to the end of the answer.
	Completion time.Duration
}

// Class describes the requests of one service class.
type Class struct {
	// Name is the name of the service class.
	Name        string
	RequestType RequestType
	// Weight is the class's part of the arrivals, relative to the weights of the other
	// classes.
	Weight float64
	// MeanPromptBytes is the mean size of the prompts, in bytes.
	MeanPromptBytes int
	// MedianAnswerTokens and AnswerTokensSigma are the parameters of the log-normal
	// distribution of the answers' lengths in tokens: its median, and the standard
	// deviation of its logarithm.
	MedianAnswerTokens float64
	AnswerTokensSigma  float64
	// MaxTokensFactor is the max_tokens of a request, as a multiple of the mean
	// length of the answers. Answers are cut off at max_tokens.
	MaxTokensFactor float64
	// SharedPrefixFraction is the fraction of prompts that begin with one of
	// SharedPrefixCount texts, each of half the mean size of a prompt.
	SharedPrefixFraction float64
	SharedPrefixCount    int
	// AbandonFraction is the fraction of callers that disconnect halfway through the
	// answer.
	AbandonFraction float64
	Deadline        time.Duration
	Targets         LatencyTargets
}

// meanAnswerTokens returns the mean length of the class's answers, in tokens.
func (c Class) meanAnswerTokens() float64 {
	return c.MedianAnswerTokens * math.Exp(c.AnswerTokensSigma*c.AnswerTokensSigma/2)
}

// maxTokens returns the max_tokens of the class's requests.
func (c Class) maxTokens() int {
	return max(1, int(math.Round(c.meanAnswerTokens()*c.MaxTokensFactor)))
}

// Workspace is one workspace whose callers send requests.
type Workspace struct {
	// APIKey is the API key that its callers send as bearer token.
	APIKey string
	// Weight is the workspace's part of the arrivals, relative to the weights of the other
	// workspaces.
	Weight float64
}

// Burst multiplies the arrival rate between two offsets from the start of the run. If
// ClassName is set, it affects only that class, and if WorkspaceAPIKey is set, only that
// workspace.
type Burst struct {
	ClassName       string
	WorkspaceAPIKey string // The workspace's API key.
	StartOffset     time.Duration
	EndOffset       time.Duration
	RateFactor      float64
}

// RequestMix describes the requests of a run: how many arrive, of which classes and from
// which workspaces.
type RequestMix struct {
	// ArrivalRate is the number of arrivals per second outside of bursts.
	ArrivalRate float64
	Classes     []Class
	Workspaces  []Workspace
	Bursts      []Burst
}

// WithArrivalRate returns a copy of the request mix with another arrival rate, per second.
func (m RequestMix) WithArrivalRate(perSecond float64) RequestMix {
	m.ArrivalRate = perSecond

	return m
}

// WithMaxTokensFactor returns a copy of the request mix with the same MaxTokensFactor for all
// classes.
func (m RequestMix) WithMaxTokensFactor(factor float64) RequestMix {
	m.Classes = append([]Class(nil), m.Classes...)
	for i := range m.Classes {
		m.Classes[i].MaxTokensFactor = factor
	}

	return m
}

// MeanAnswerTokens returns the mean length of the answers over all requests, in tokens.
// Calls to a plain service count as zero.
func (m RequestMix) MeanAnswerTokens() float64 {
	return m.weightedMean(Class.meanAnswerTokens)
}

// MeanPromptBytes returns the mean size of the prompts over all requests, in bytes.
// Calls to a plain service count as zero.
func (m RequestMix) MeanPromptBytes() float64 {
	return m.weightedMean(func(c Class) float64 { return float64(c.MeanPromptBytes) })
}

// weightedMean returns the mean of a value over the classes, weighted by their arrivals;
// the value of a class without chat requests is zero.
func (m RequestMix) weightedMean(value func(Class) float64) float64 {
	sum, weights := 0.0, 0.0
	for _, class := range m.Classes {
		weights += class.Weight
		if class.RequestType == Chat {
			sum += class.Weight * value(class)
		}
	}
	if weights == 0 {
		return 0
	}

	return sum / weights
}

// StandardRequestMix returns a request mix of short chat replies, appraisals that a
// customer waits for, long notes and background work.
func StandardRequestMix() RequestMix {
	return RequestMix{
		ArrivalRate: 10,
		Classes: []Class{
			{
				Name: "chat", Weight: 0.4, MeanPromptBytes: 800, MedianAnswerTokens: 60, AnswerTokensSigma: 0.6, MaxTokensFactor: 8, SharedPrefixFraction: 0.8, SharedPrefixCount: 8,
				Deadline: 10 * time.Second,
				Targets:  LatencyTargets{FirstToken: 360 * time.Millisecond, TokenGap: 44 * time.Millisecond},
			},
			{
				Name: "appraisal", Weight: 0.2, MeanPromptBytes: 2400, MedianAnswerTokens: 120, AnswerTokensSigma: 0.5, MaxTokensFactor: 8, SharedPrefixFraction: 0.5, SharedPrefixCount: 8,
				Deadline: 20 * time.Second,
				Targets:  LatencyTargets{FirstToken: 800 * time.Millisecond, TokenGap: 60 * time.Millisecond},
			},
			{
				Name: "notes", Weight: 0.2, MeanPromptBytes: 8000, MedianAnswerTokens: 300, AnswerTokensSigma: 0.7, MaxTokensFactor: 8, SharedPrefixFraction: 0.2, SharedPrefixCount: 4,
				Deadline: 60 * time.Second,
				Targets:  LatencyTargets{Completion: 40 * time.Second},
			},
			{
				Name: "background", Weight: 0.2, MeanPromptBytes: 3000, MedianAnswerTokens: 200, AnswerTokensSigma: 0.9, MaxTokensFactor: 8,
				Deadline: 120 * time.Second,
				Targets:  LatencyTargets{Completion: 110 * time.Second},
			},
		},
		Workspaces: []Workspace{{APIKey: "token-0", Weight: 1}},
	}
}
