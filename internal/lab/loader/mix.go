package loader

import (
	"math"
	"time"
)

// RequestType is what the requests of a class ask for.
type RequestType int

// The kinds of work.
const (
	// Chat is a streamed chat completion.
	Chat RequestType = iota
	// Booking is a call to a plain service that must run at most once.
	Booking
	// Quote is an idempotent call to a plain service.
	Quote
)

// LatencyTargets is what a class promises. A zero field promises nothing.
type LatencyTargets struct {
	// FirstToken is the time to the first token.
	FirstToken time.Duration
	// TokenGap is the time between two tokens.
	TokenGap time.Duration
	// Completion is the time to the end of the answer.
	Completion time.Duration
}

// Class is one class of the requests.
type Class struct {
	// Name of the service class.
	Name        string
	RequestType RequestType
	// Weight of the arrivals, relative to those of the other classes.
	Weight float64
	// MeanPromptBytes is the mean size of a prompt, in bytes.
	MeanPromptBytes int
	// MedianAnswerTokens and Sigma describe the log-normal lengths of the answers, in
	// tokens.
	MedianAnswerTokens float64
	Sigma              float64
	// MaxTokensFactor is how many times the mean length callers reserve. Answers are
	// cut off at what was reserved.
	MaxTokensFactor float64
	// Shared is the share of prompts that begin with one of Prefixes texts
	// of half the mean prompt's size.
	Shared   float64
	Prefixes int
	// Abandon is the share of callers that leave halfway.
	Abandon  float64
	Deadline time.Duration
	Targets  LatencyTargets
}

// mean returns the mean length of the class's answers.
func (c Class) mean() float64 {
	return c.MedianAnswerTokens * math.Exp(c.Sigma*c.Sigma/2)
}

// limit returns what callers of the class reserve, in tokens.
func (c Class) limit() int {
	return max(1, int(math.Round(c.mean()*c.MaxTokensFactor)))
}

// Workspace is one customer that sends requests.
type Workspace struct {
	// APIKey is its bearer token.
	APIKey string
	// Weight of the arrivals, relative to those of the other workspaces.
	Weight float64
}

// Burst multiplies the arrivals of a class, or of all when Class is empty,
// and of one workspace when Workspace is set, for a while.
type Burst struct {
	ClassName       string
	WorkspaceAPIKey string // The workspace's token.
	StartOffset     time.Duration
	EndOffset       time.Duration
	RateFactor      float64
}

// RequestMix describes the requests that arrive.
type RequestMix struct {
	// ArrivalRate of arrivals, per second, outside of bursts.
	ArrivalRate float64
	Classes     []Class
	Workspaces  []Workspace
	Bursts      []Burst
}

// WithArrivalRate returns a mix with another rate of arrivals.
func (m RequestMix) WithArrivalRate(rate float64) RequestMix {
	m.ArrivalRate = rate

	return m
}

// WithMaxTokensFactor returns a mix whose callers reserve so many times the mean
// length.
func (m RequestMix) WithMaxTokensFactor(reserve float64) RequestMix {
	m.Classes = append([]Class(nil), m.Classes...)
	for i := range m.Classes {
		m.Classes[i].MaxTokensFactor = reserve
	}

	return m
}

// MeanAnswerTokens returns the mean length of an arrival's answer, in tokens.
func (m RequestMix) MeanAnswerTokens() float64 {
	return m.average(Class.mean)
}

// MeanPromptBytes returns the mean size of an arrival's prompt, in bytes.
func (m RequestMix) MeanPromptBytes() float64 {
	return m.average(func(c Class) float64 { return float64(c.MeanPromptBytes) })
}

func (m RequestMix) average(of func(Class) float64) float64 {
	sum, shares := 0.0, 0.0
	for _, class := range m.Classes {
		shares += class.Weight
		if class.RequestType == Chat {
			sum += class.Weight * of(class)
		}
	}
	if shares == 0 {
		return 0
	}

	return sum / shares
}

// StandardRequestMix returns a mix of short chat replies, appraisals read while a
// customer waits, long notes and background work.
func StandardRequestMix() RequestMix {
	return RequestMix{
		ArrivalRate: 10,
		Classes: []Class{
			{
				Name: "chat", Weight: 0.4, MeanPromptBytes: 800, MedianAnswerTokens: 60, Sigma: 0.6, MaxTokensFactor: 8, Shared: 0.8, Prefixes: 8,
				Deadline: 10 * time.Second,
				Targets:  LatencyTargets{FirstToken: 360 * time.Millisecond, TokenGap: 44 * time.Millisecond},
			},
			{
				Name: "appraisal", Weight: 0.2, MeanPromptBytes: 2400, MedianAnswerTokens: 120, Sigma: 0.5, MaxTokensFactor: 8, Shared: 0.5, Prefixes: 8,
				Deadline: 20 * time.Second,
				Targets:  LatencyTargets{FirstToken: 800 * time.Millisecond, TokenGap: 60 * time.Millisecond},
			},
			{
				Name: "notes", Weight: 0.2, MeanPromptBytes: 8000, MedianAnswerTokens: 300, Sigma: 0.7, MaxTokensFactor: 8, Shared: 0.2, Prefixes: 4,
				Deadline: 60 * time.Second,
				Targets:  LatencyTargets{Completion: 40 * time.Second},
			},
			{
				Name: "background", Weight: 0.2, MeanPromptBytes: 3000, MedianAnswerTokens: 200, Sigma: 0.9, MaxTokensFactor: 8,
				Deadline: 120 * time.Second,
				Targets:  LatencyTargets{Completion: 110 * time.Second},
			},
		},
		Workspaces: []Workspace{{APIKey: "token-0", Weight: 1}},
	}
}
