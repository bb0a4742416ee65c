package loader

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Arrival is one request to come.
type Arrival struct {
	// At is when it is sent, from the start of the run.
	At time.Duration
	// Class and Workspace are places in the mix.
	Class     int
	Workspace int
	// Number is the arrival's place in the list.
	Number int
	// Prompt is the size of its prompt, in bytes, and Prefix the number of
	// the shared text that begins it, or -1.
	Prompt int
	Prefix int
	// Tokens is the true length of the answer and Limit what is reserved.
	Tokens int
	Limit  int
	// Leaves says that the caller goes away halfway.
	Leaves bool
	// Key is the idempotency key of a booking.
	Key string
}

// GenerateArrivals returns the requests that a mix sends, in the order of their
// times. The same seed, mix and duration give the same list.
func GenerateArrivals(seed uint64, mix RequestMix, duration time.Duration) []Arrival {
	arrivals := make([]Arrival, 0, int(mix.ArrivalRate*duration.Seconds()))
	for class := range mix.Classes {
		for workspace := range mix.Workspaces {
			random := rand.New(rand.NewPCG(seed, uint64(class)<<32|uint64(workspace)))
			source := source{mix: mix, class: class, workspace: workspace, random: random}
			arrivals = append(arrivals, source.arrivals(duration)...)
		}
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	for i := range arrivals {
		arrivals[i].Number = i
		if mix.Classes[arrivals[i].Class].RequestType == Booking {
			arrivals[i].Key = "booking-" + strconv.FormatUint(seed, 10) + "-" + strconv.Itoa(i)
		}
	}

	return arrivals
}

// source draws the arrivals of one class from one workspace.
type source struct {
	mix       RequestMix
	class     int
	workspace int
	random    *rand.Rand
}

// arrivals draws a Poisson process, by thinning where a burst changes its
// rate.
func (s source) arrivals(duration time.Duration) []Arrival {
	rate := s.rate()
	peak := rate * s.peak()
	if peak <= 0 {
		return nil
	}

	var drawn []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(s.random.ExpFloat64() / peak * float64(time.Second))
		if at >= duration {
			return drawn
		}
		if s.random.Float64() < rate*s.factor(at)/peak {
			drawn = append(drawn, s.draw(at))
		}
	}
}

// rate returns the source's rate outside of bursts, per second.
func (s source) rate() float64 {
	classes, workspaces := 0.0, 0.0
	for _, class := range s.mix.Classes {
		classes += class.Weight
	}
	for _, workspace := range s.mix.Workspaces {
		workspaces += workspace.Weight
	}

	return s.mix.ArrivalRate * s.mix.Classes[s.class].Weight / classes * s.mix.Workspaces[s.workspace].Weight / workspaces
}

// peak returns a factor that no moment's factor exceeds.
func (s source) peak() float64 {
	highest := 1.0
	for _, burst := range s.mix.Bursts {
		if s.meets(burst) {
			highest *= max(1, burst.RateFactor)
		}
	}

	return highest
}

func (s source) factor(at time.Duration) float64 {
	factor := 1.0
	for _, burst := range s.mix.Bursts {
		if s.meets(burst) && at >= burst.StartOffset && at < burst.EndOffset {
			factor *= burst.RateFactor
		}
	}

	return factor
}

func (s source) meets(burst Burst) bool {
	return (burst.ClassName == "" || burst.ClassName == s.mix.Classes[s.class].Name) &&
		(burst.WorkspaceAPIKey == "" || burst.WorkspaceAPIKey == s.mix.Workspaces[s.workspace].APIKey)
}

func (s source) draw(at time.Duration) Arrival {
	class := s.mix.Classes[s.class]
	drawn := Arrival{At: at, Class: s.class, Workspace: s.workspace, Prefix: -1}
	spread := 0.5 + s.random.Float64() // Prompts vary by a half of their mean.
	drawn.Prompt = max(1, int(float64(class.MeanPromptBytes)*spread))
	length := class.MedianAnswerTokens * math.Exp(class.Sigma*s.random.NormFloat64())
	drawn.Limit = class.limit()
	drawn.Tokens = min(drawn.Limit, max(1, int(math.Round(length))))
	if s.random.Float64() < class.Shared && class.Prefixes > 0 {
		drawn.Prefix = s.random.IntN(class.Prefixes)
	}
	drawn.Leaves = s.random.Float64() < class.Abandon

	return drawn
}

// prompt returns the text of an arrival's prompt.
func (m RequestMix) prompt(arrival Arrival) string {
	class := m.Classes[arrival.Class]
	size := arrival.Prompt
	var text strings.Builder
	text.Grow(size + 32)
	if arrival.Prefix >= 0 {
		shared := class.Name + " instructions " + strconv.Itoa(arrival.Prefix) + ". "
		fill(&text, shared, min(class.MeanPromptBytes/2, size))
	}
	fill(&text, "request "+strconv.Itoa(arrival.Number)+" says so. ", size)

	return text.String()
}

// fill repeats a phrase until the text has a size.
func fill(text *strings.Builder, phrase string, size int) {
	for text.Len() < size {
		text.WriteString(phrase[:min(len(phrase), size-text.Len())])
	}
}
