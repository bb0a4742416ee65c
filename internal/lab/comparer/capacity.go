package comparer

import (
	"time"

	"github.com/oleanderpick/oleanderpick/internal/lab/emulator"
	"github.com/oleanderpick/oleanderpick/internal/lab/loader"
)

// The engines of a comparison and the speed of their model.
const (
	engineCount             = 9
	engineSlots             = 8
	engineMemoryTokens      = 4000 // capacity of the KV cache
	baseStepDuration        = 12 * time.Millisecond
	stepDurationPerSequence = 400 * time.Microsecond
	prefillTokensPerSecond  = 24_000
	// bytesPerPromptToken converts the loader's prompt sizes to tokens.
	bytesPerPromptToken = 4
	// longestDeadline is the longest deadline of a class in the mix.
	longestDeadline = 15 * time.Second
)

// engineSettings returns the settings of every engine. If an answer reserves its true
// length, eight answers fit into the memory and the slots are the limit. If it reserves
// eight times the mean length, only about four fit.
func engineSettings(reportLag time.Duration, seed uint64) emulator.Settings {
	return emulator.Settings{
		Slots:               engineSlots,
		KVTokens:            engineMemoryTokens,
		BaseStepTime:        baseStepDuration,
		StepTimePerSequence: stepDurationPerSequence,
		PrefillRate:         prefillTokensPerSecond,
		ReportLag:           reportLag,
		Seed:                seed,
	}
}

// Capacity is the throughput of all engines together, as computed from their model.
type Capacity struct {
	// RequestsPerSecond counts whole answers, TokensPerSecond the tokens in them.
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	TokensPerSecond   float64 `json:"tokensPerSecond"`
}

// EstimateCapacity returns the capacity for a mix of count engines, which may be a
// fraction. A request takes the prefill of its prompt and its share of the steps of a
// full batch.
func EstimateCapacity(engine emulator.Settings, count float64, mix loader.RequestMix) Capacity {
	stepDuration := engine.BaseStepTime + time.Duration(engine.Slots)*engine.StepTimePerSequence
	answerTokens := mix.MeanAnswerTokens()
	prefillSeconds := mix.MeanPromptBytes() / bytesPerPromptToken / engine.PrefillRate
	secondsPerRequest := prefillSeconds + answerTokens*stepDuration.Seconds()/float64(engine.Slots)
	if secondsPerRequest == 0 {
		return Capacity{}
	}

	return Capacity{RequestsPerSecond: count / secondsPerRequest, TokensPerSecond: count / secondsPerRequest * answerTokens}
}

// Mix returns the comparison's requests: the standard classes with shorter prompts and
// answers, so that many answers complete in a short round. Callers reserve
// reserveFactor times the mean length of an answer.
func Mix(reserveFactor float64) loader.RequestMix {
	mix := loader.StandardRequestMix()
	shapes := []struct {
		promptBytes  int
		medianTokens float64
		deadline     time.Duration
		targets      loader.LatencyTargets
	}{
		{200, 30, 4 * time.Second, mix.Classes[0].Targets},
		{600, 60, 8 * time.Second, mix.Classes[1].Targets},
		{2000, 100, 12 * time.Second, loader.LatencyTargets{Completion: 8 * time.Second}},
		{800, 60, longestDeadline, loader.LatencyTargets{Completion: 12 * time.Second}},
	}
	for i, shape := range shapes {
		class := &mix.Classes[i]
		class.MeanPromptBytes, class.MedianAnswerTokens, class.Deadline, class.Targets = shape.promptBytes, shape.medianTokens, shape.deadline, shape.targets
	}

	return mix.WithMaxTokensFactor(reserveFactor)
}
