package loader

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Arrival is one request of a run, with the time at which it is sent.
type Arrival struct {
	// SendOffset is the time from the start of the run to the sending of the request.
	SendOffset time.Duration
	// ClassIndex and WorkspaceIndex are indexes into Classes and Workspaces of the request
	// mix.
	ClassIndex     int
	WorkspaceIndex int
	// Index is the arrival's index in the list of all arrivals.
	Index int
	// PromptBytes is the size of the prompt, and SharedPrefixIndex the number of the
	// shared text that the prompt begins with, or -1 if it has none.
	PromptBytes       int
	SharedPrefixIndex int
	// AnswerTokens is the true length of the answer, and MaxTokens the max_tokens of the
	// request.
	AnswerTokens int
	MaxTokens    int
	// AbandonsAnswer is set if the caller disconnects halfway through the answer.
	AbandonsAnswer bool
	// IdempotencyKey is the idempotency key of a booking, empty for other requests.
	IdempotencyKey string
}

// GenerateArrivals draws the requests of a run from a request mix, in the order of their times.
// The same seed, request mix and duration give the same list.
func GenerateArrivals(seed uint64, mix RequestMix, duration time.Duration) []Arrival {
	arrivals := make([]Arrival, 0, int(mix.ArrivalRate*duration.Seconds()))
	for class := range mix.Classes {
		for workspace := range mix.Workspaces {
			random := rand.New(rand.NewPCG(seed, uint64(class)<<32|uint64(workspace)))
			source := arrivalSource{mix: mix, classIndex: class, workspaceIndex: workspace, random: random}
			arrivals = append(arrivals, source.drawArrivals(duration)...)
		}
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return int(a.SendOffset - b.SendOffset) })
	for i := range arrivals {
		arrivals[i].Index = i
		if mix.Classes[arrivals[i].ClassIndex].RequestType == Booking {
			arrivals[i].IdempotencyKey = "booking-" + strconv.FormatUint(seed, 10) + "-" + strconv.Itoa(i)
		}
	}

	return arrivals
}

// arrivalSource draws the arrivals of one class and one workspace.
type arrivalSource struct {
	mix            RequestMix
	classIndex     int
	workspaceIndex int
	random         *rand.Rand
}

// drawArrivals draws the arrivals as a Poisson process whose rate changes with the bursts.
// It draws them at the highest rate and drops some at random where the rate is lower
// (thinning).
func (s arrivalSource) drawArrivals(duration time.Duration) []Arrival {
	baseRate := s.baseRate()
	maxRate := baseRate * s.maxBurstFactor()
	if maxRate <= 0 {
		return nil
	}

	var arrivals []Arrival
	offset := time.Duration(0)
	for {
		offset += time.Duration(s.random.ExpFloat64() / maxRate * float64(time.Second))
		if offset >= duration {
			return arrivals
		}
		if s.random.Float64() < baseRate*s.burstFactorAt(offset)/maxRate {
			arrivals = append(arrivals, s.drawArrival(offset))
		}
	}
}

// baseRate returns the number of arrivals per second outside of bursts.
func (s arrivalSource) baseRate() float64 {
	classWeights, workspaceWeights := 0.0, 0.0
	for _, class := range s.mix.Classes {
		classWeights += class.Weight
	}
	for _, workspace := range s.mix.Workspaces {
		workspaceWeights += workspace.Weight
	}

	return s.mix.ArrivalRate * s.mix.Classes[s.classIndex].Weight / classWeights * s.mix.Workspaces[s.workspaceIndex].Weight / workspaceWeights
}

// maxBurstFactor returns an upper bound of burstFactorAt over the run.
func (s arrivalSource) maxBurstFactor() float64 {
	maxFactor := 1.0
	for _, burst := range s.mix.Bursts {
		if s.isAffectedBy(burst) {
			maxFactor *= max(1, burst.RateFactor)
		}
	}

	return maxFactor
}

// burstFactorAt returns the product of the factors of the bursts at a time of the run.
func (s arrivalSource) burstFactorAt(offset time.Duration) float64 {
	factor := 1.0
	for _, burst := range s.mix.Bursts {
		if s.isAffectedBy(burst) && offset >= burst.StartOffset && offset < burst.EndOffset {
			factor *= burst.RateFactor
		}
	}

	return factor
}

func (s arrivalSource) isAffectedBy(burst Burst) bool {
	return (burst.ClassName == "" || burst.ClassName == s.mix.Classes[s.classIndex].Name) &&
		(burst.WorkspaceAPIKey == "" || burst.WorkspaceAPIKey == s.mix.Workspaces[s.workspaceIndex].APIKey)
}

// drawArrival draws the sizes, the prompt's shared prefix and the caller's behaviour of one
// arrival.
func (s arrivalSource) drawArrival(offset time.Duration) Arrival {
	class := s.mix.Classes[s.classIndex]
	arrival := Arrival{SendOffset: offset, ClassIndex: s.classIndex, WorkspaceIndex: s.workspaceIndex, SharedPrefixIndex: -1}
	sizeFactor := 0.5 + s.random.Float64() // 0.5 to 1.5 times the mean size.
	arrival.PromptBytes = max(1, int(float64(class.MeanPromptBytes)*sizeFactor))
	tokens := class.MedianAnswerTokens * math.Exp(class.AnswerTokensSigma*s.random.NormFloat64())
	arrival.MaxTokens = class.maxTokens()
	arrival.AnswerTokens = min(arrival.MaxTokens, max(1, int(math.Round(tokens))))
	if s.random.Float64() < class.SharedPrefixFraction && class.SharedPrefixCount > 0 {
		arrival.SharedPrefixIndex = s.random.IntN(class.SharedPrefixCount)
	}
	arrival.AbandonsAnswer = s.random.Float64() < class.AbandonFraction

	return arrival
}

// promptText returns the text of an arrival's prompt: its shared prefix, if any, and a text
// of its own.
func (m RequestMix) promptText(arrival Arrival) string {
	class := m.Classes[arrival.ClassIndex]
	size := arrival.PromptBytes
	var text strings.Builder
	text.Grow(size + 32)
	if arrival.SharedPrefixIndex >= 0 {
		phrase := class.Name + " instructions " + strconv.Itoa(arrival.SharedPrefixIndex) + ". "
		fillWithPhrase(&text, phrase, min(class.MeanPromptBytes/2, size))
	}
	fillWithPhrase(&text, "request "+strconv.Itoa(arrival.Index)+" says so. ", size)

	return text.String()
}

// fillWithPhrase appends a phrase again and again, cut at the end, until the text has the
// given size in bytes.
func fillWithPhrase(text *strings.Builder, phrase string, size int) {
	for text.Len() < size {
		text.WriteString(phrase[:min(len(phrase), size-text.Len())])
	}
}
