package comparer

import (
	"time"

	"github.com/oleanderpick/oleanderpick/internal/lab/emulator"
	"github.com/oleanderpick/oleanderpick/internal/lab/loader"
)

const (
	engines     = 9
	slots       = 8
	memory      = 4000 // KV memory of an engine, in tokens.
	stepBase    = 12 * time.Millisecond
	stepEach    = 400 * time.Microsecond
	prefillRate = 24_000 // Prompt tokens a second.
	// promptBytes is how many bytes of a prompt make a token.
	promptBytes = 4
	// lowestDeadline is the longest deadline of the mix.
	lowestDeadline = 15 * time.Second
)

// engineSettings are those of every engine. With the mix's true lengths eight
// answers fit into the memory, so that the slots bind; with eight times the
// mean reserved the memory holds about four.
func engineSettings(lag time.Duration, seed uint64) emulator.Settings {
	return emulator.Settings{
		Slots:               slots,
		KVTokens:            memory,
		BaseStepTime:        stepBase,
		StepTimePerSequence: stepEach,
		PrefillRate:         prefillRate,
		ReportLag:           lag,
		Seed:                seed,
	}
}

// Capacity is what the engines can do, by their model.
type Capacity struct {
	// Requests and Tokens are answers and their tokens a second.
	Requests float64 `json:"requestsPerSecond"`
	Tokens   float64 `json:"tokensPerSecond"`
}

// CapacityOf returns the capacity of so many engines for a mix. A request
// costs an engine the reading of its prompt and its share of the steps of a
// full batch.
func CapacityOf(engine emulator.Settings, count float64, mix loader.Mix) Capacity {
	step := engine.BaseStepTime + time.Duration(engine.Slots)*engine.StepTimePerSequence
	tokens := mix.MeanTokens()
	prefill := mix.MeanPrompt() / promptBytes / engine.PrefillRate
	each := prefill + tokens*step.Seconds()/float64(engine.Slots)
	if each == 0 {
		return Capacity{}
	}

	return Capacity{Requests: count / each, Tokens: count / each * tokens}
}

// Mix returns the comparison's requests: the standard classes with shorter
// prompts and answers, so that a short round holds many whole answers.
func Mix(reserve float64) loader.Mix {
	mix := loader.Standard()
	shapes := []struct {
		prompt   int
		median   float64
		deadline time.Duration
		targets  loader.Targets
	}{
		{200, 30, 4 * time.Second, mix.Classes[0].Targets},
		{600, 60, 8 * time.Second, mix.Classes[1].Targets},
		{2000, 100, 12 * time.Second, loader.Targets{Whole: 8 * time.Second}},
		{800, 60, lowestDeadline, loader.Targets{Whole: 12 * time.Second}},
	}
	for i, shape := range shapes {
		class := &mix.Classes[i]
		class.Prompt, class.Median, class.Deadline, class.Targets = shape.prompt, shape.median, shape.deadline, shape.targets
	}

	return mix.WithReserve(reserve)
}
