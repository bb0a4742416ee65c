package comparer

import (
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/lab/emulator"
	"github.com/oleanderpick/oleanderpick/internal/lab/loader"
)

func TestCapacity(t *testing.T) {
	engine := emulator.Settings{Slots: 10, BaseStepTime: 15 * time.Millisecond, StepTimePerSequence: 500 * time.Microsecond, PrefillRate: 1000}
	mix := loader.Mix{Classes: []loader.Class{{Share: 1, Prompt: 400, Median: 50}}}
	// 0.1 s for the prompt's 100 tokens and 50 steps of 20 ms shared by ten.
	got := CapacityOf(engine, 2, mix)
	assert.Assert(t, math.Abs(got.Requests-10) < 1e-9, got.Requests)
	assert.Assert(t, math.Abs(got.Tokens-500) < 1e-9, got.Tokens)
	assert.Equal(t, CapacityOf(engine, 2, loader.Mix{}), Capacity{})
}

// TestMemoryBindsWhenLimitsAreReserved: with true lengths a full batch fits
// into the memory; with eight times the mean reserved half a batch does.
func TestMemoryBindsWhenLimitsAreReserved(t *testing.T) {
	mix := Mix(8)
	prompt, answer := mix.MeanPrompt()/promptBytes, mix.MeanTokens()
	assert.Assert(t, slots*(prompt+answer) < memory)
	reserved := memory / (prompt + 8*answer)
	assert.Assert(t, reserved > 0.5*slots && reserved < 0.75*slots, reserved)
}

func TestUnevenEnginesHaveTheirSpeedsCapacity(t *testing.T) {
	even := Settings{Reserve: 8}.Capacity()
	uneven, err := ScenarioOf("uneven")
	assert.NilError(t, err)
	got := Settings{Reserve: 8, Scenario: uneven}.Capacity()
	assert.Assert(t, math.Abs(got.Requests-even.Requests) < 1e-9)
}

func TestScenariosChangeOnlyTheirOwn(t *testing.T) {
	plain := loader.Arrivals(1, Settings{Reserve: 8, Duration: 9 * time.Second}.mix().WithRate(50), 9*time.Second)
	for _, scenario := range Scenarios() {
		settings := Settings{Reserve: 8, Duration: 9 * time.Second, Scenario: scenario}
		got := loader.Arrivals(1, settings.mix().WithRate(50), settings.Duration)
		switch scenario.Name {
		case "burst", "parallel-asks":
			assert.Assert(t, len(got) > len(plain)+100, scenario.Name)
		case "long-outputs":
			assert.Assert(t, settings.mix().MeanTokens() > 1.5*Mix(8).MeanTokens())
		default:
			assert.DeepEqual(t, got, plain)
		}
	}
	_, err := ScenarioOf("calm")
	assert.ErrorContains(t, err, `no scenario "calm"`)
}

func TestSpread(t *testing.T) {
	assert.Equal(t, spreadOf(nil), Spread{})
	assert.Equal(t, spreadOf([]float64{2, 4, 6}), Spread{Mean: 4, Deviation: 2, Lowest: 2, Highest: 6, Rounds: 3})
	assert.Equal(t, spreadOf(nil).percent(), notMeasured)
}

func TestShareOfASlowEngine(t *testing.T) {
	assert.Equal(t, shareOf([]int{5, 5, 5}, []int{15, 7, 15}, 1), 0.2)
	assert.Equal(t, shareOf([]int{5, 5}, []int{5, 9}, 1), -1.0)
}

// sample is a report of two rounds; the second of naive is no measurement.
func sample() Report {
	round := func(within, good int, late time.Duration) Round {
		callers := loader.Report{Late: late, Classes: []loader.Summary{
			{Class: "chat", Sent: 100, Whole: within, Within: within, Refused: map[string]int{"expired": 100 - within}},
			{Class: "background", Sent: 10, Whole: 10, Within: 10, LongestWait: 3 * time.Second},
		}}

		return Round{Callers: callers, Goodput: float64(good), Made: 1000, Received: 995, Remote: 1, Placements: 100, Valid: callers.Measured()}
	}

	return Report{Scenario: "steady", Overload: 1.5, Reserve: 8, Policies: []Policy{
		{Name: Naive, Rounds: []Round{round(50, 100, 0), round(90, 1, time.Second)}},
		{Name: Ours, Rounds: []Round{round(96, 300, 0), round(98, 200, 0)}},
		{Name: Known, Rounds: []Round{round(99, 400, 0), round(98, 200, 0)}},
	}}.finish()
}

func TestReport(t *testing.T) {
	report := sample()
	var text strings.Builder
	report.Print(&text)
	for _, want := range []string{
		"ours / naive, goodput: 3.000 ± 0.000 (3.000 to 3.000, 1 rounds)",
		"ours / known, goodput: 0.875 ± 0.177 (0.750 to 1.000, 2 rounds)",
		"top tier within target: measured 0.97, bound at least 0.95: met",
		"top tier within target, against known: measured 0.97, bound at least 0.985: missed",
		"ours / naive, goodput: measured 3, bound at least 2: met",
		"ours / known, goodput: measured 0.875, bound at least 0.95: missed",
		"wasted work without a fault: measured 0.005, bound at most 0.01: met",
		"lowest tier's longest wait, seconds: measured 3, bound at most 7.5: met",
		"expired 50",
	} {
		assert.Assert(t, strings.Contains(text.String(), want), "%s\nlacks: %s", text.String(), want)
	}
	assert.Assert(t, !report.Met())
}

func TestPartsOfAnswersCountOnlyWithTheCallersWhole(t *testing.T) {
	round := Round{Made: 1000, Received: 990, Callers: loader.Report{Classes: []loader.Summary{{Tokens: 600}, {Tokens: 300}}}}
	assert.Assert(t, math.Abs(round.Wasted()-0.01) < 1e-9)
	assert.Assert(t, math.Abs(round.unfinished()-0.1) < 1e-9)
	assert.Equal(t, Round{}.unfinished(), 0.0)
}

func TestBoundsOfAScenario(t *testing.T) {
	for _, test := range []struct {
		scenario string
		overload float64
		want     string
	}{
		{"steady", 0.7, "share leaving its data centre"},
		{"crashing", 1.5, "wasted work with a crashing engine"},
		{"crashing", 1.5, "the same, parts of answers that broke off counted as wasted"},
		{"slow", 0.9, "healthy engines ejected"},
	} {
		report := sample()
		report.Scenario, report.Overload = test.scenario, test.overload
		var text strings.Builder
		report.finish().Print(&text)
		assert.Assert(t, strings.Contains(text.String(), test.want), text.String())
		assert.Equal(t, strings.Contains(text.String(), "share leaving"), test.scenario == "steady")
	}
}

func TestNothingMeasuredIsNeverMet(t *testing.T) {
	report := sample()
	for i := range report.Policies[1].Rounds { // Those of ours.
		report.Policies[1].Rounds[i].Valid = false
	}
	for _, bound := range report.finish().Bounds {
		assert.Assert(t, !bound.Met, bound.Measure)
		assert.Equal(t, bound.Rounds, 0, bound.Measure)
	}
}

func TestNothingToPlot(t *testing.T) {
	report := sample()
	report.Policies = nil
	assert.ErrorContains(t, report.Plot(filepath.Join(t.TempDir(), "plot.svg")), "nothing to plot")
}

func TestPlotWritesTheFile(t *testing.T) {
	for _, name := range []string{"plot.png", "plot.svg"} {
		file := filepath.Join(t.TempDir(), name)
		assert.NilError(t, sample().Plot(file))
		written, err := os.ReadFile(file)
		assert.NilError(t, err)
		assert.Assert(t, len(written) > 1000)
	}
}
