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

func TestEstimateCapacityCountsPrefillAndSharedSteps(t *testing.T) {
	engine := emulator.Settings{Slots: 10, BaseStepTime: 15 * time.Millisecond, StepTimePerSequence: 500 * time.Microsecond, PrefillRate: 1000}
	mix := loader.RequestMix{Classes: []loader.Class{{Weight: 1, MeanPromptBytes: 400, MedianAnswerTokens: 50}}}
	// A request takes 0.1 s to prefill 100 tokens, and 50 steps of 20 ms that ten share.
	capacity := EstimateCapacity(engine, 2, mix)
	assert.Assert(t, math.Abs(capacity.RequestsPerSecond-10) < 1e-9, capacity.RequestsPerSecond)
	assert.Assert(t, math.Abs(capacity.TokensPerSecond-500) < 1e-9, capacity.TokensPerSecond)
	assert.Equal(t, EstimateCapacity(engine, 2, loader.RequestMix{}), Capacity{})
}

// With true lengths, a full batch fits into the memory. With eight times the mean length
// reserved, between half and three quarters of a batch fits.
func TestReservingLimitsMakesMemoryTheBottleneck(t *testing.T) {
	mix := Mix(8)
	promptTokens, answerTokens := mix.MeanPromptBytes()/bytesPerPromptToken, mix.MeanAnswerTokens()
	assert.Assert(t, engineSlots*(promptTokens+answerTokens) < engineMemoryTokens)
	requestsThatFit := engineMemoryTokens / (promptTokens + 8*answerTokens)
	assert.Assert(t, requestsThatFit > 0.5*engineSlots && requestsThatFit < 0.75*engineSlots, requestsThatFit)
}

func TestUnevenEnginesHaveSameTotalCapacity(t *testing.T) {
	even := Settings{ReserveFactor: 8}.Capacity()
	uneven, err := ScenarioByName("uneven")
	assert.NilError(t, err)
	capacity := Settings{ReserveFactor: 8, Scenario: uneven}.Capacity()
	assert.Assert(t, math.Abs(capacity.RequestsPerSecond-even.RequestsPerSecond) < 1e-9)
}

func TestScenariosChangeRequestsOnlyWhereIntended(t *testing.T) {
	steadyArrivals := loader.GenerateArrivals(1, Settings{ReserveFactor: 8, Duration: 9 * time.Second}.requestMix().WithArrivalRate(50), 9*time.Second)
	for _, scenario := range Scenarios() {
		settings := Settings{ReserveFactor: 8, Duration: 9 * time.Second, Scenario: scenario}
		arrivals := loader.GenerateArrivals(1, settings.requestMix().WithArrivalRate(50), settings.Duration)
		switch scenario.Name {
		case "burst", "parallel-asks":
			assert.Assert(t, len(arrivals) > len(steadyArrivals)+100, scenario.Name)
		case "long-outputs":
			assert.Assert(t, settings.requestMix().MeanAnswerTokens() > 1.5*Mix(8).MeanAnswerTokens())
		default:
			assert.DeepEqual(t, arrivals, steadyArrivals)
		}
	}
	_, err := ScenarioByName("calm")
	assert.ErrorContains(t, err, `no scenario "calm"`)
}

func TestSpreadHasMeanDeviationAndExtremes(t *testing.T) {
	assert.Equal(t, newSpread(nil), Spread{})
	assert.Equal(t, newSpread([]float64{2, 4, 6}), Spread{Mean: 4, StandardDeviation: 2, Lowest: 2, Highest: 6, RoundCount: 3})
	assert.Equal(t, newSpread(nil).formatPercent(), notMeasuredText)
}

func TestGrowthRatioIsRelativeToMeanOfOthers(t *testing.T) {
	assert.Equal(t, growthRatio([]int{5, 5, 5}, []int{15, 7, 15}, 1), 0.2)
	assert.Equal(t, growthRatio([]int{5, 5}, []int{5, 9}, 1), -1.0)
}

// sampleReport returns a report of two rounds for three policies. The second round of the
// naive policy is invalid, since the loader was late.
func sampleReport() Report {
	round := func(withinTarget, goodput int, late time.Duration) RoundResult {
		callerReport := loader.Report{LongestSendDelay: late, Classes: []loader.ClassSummary{
			{ClassName: "chat", Sent: 100, Complete: withinTarget, WithinTargets: withinTarget, RefusedByKind: map[string]int{"expired": 100 - withinTarget}},
			{ClassName: "background", Sent: 10, Complete: 10, WithinTargets: 10, LongestWait: 3 * time.Second},
		}}

		return RoundResult{CallerReport: callerReport, Goodput: float64(goodput), GeneratedTokens: 1000, ReceivedTokens: 995, RemotePlacements: 1, Placements: 100, Valid: callerReport.IsValidMeasurement()}
	}

	return Report{Scenario: "steady", Overload: 1.5, ReserveFactor: 8, Policies: []PolicyResult{
		{Name: RoundRobinPolicy, Rounds: []RoundResult{round(50, 100, 0), round(90, 1, time.Second)}},
		{Name: RouterPolicy, Rounds: []RoundResult{round(96, 300, 0), round(98, 200, 0)}},
		{Name: KnownLengthsPolicy, Rounds: []RoundResult{round(99, 400, 0), round(98, 200, 0)}},
	}}.withStatistics()
}

func TestReportPrintsRatiosBoundsAndFailures(t *testing.T) {
	report := sampleReport()
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
	assert.Assert(t, !report.MeetsBounds())
}

func TestUnfinishedAnswersAreWastedOnlyInUnfinishedFraction(t *testing.T) {
	round := RoundResult{GeneratedTokens: 1000, ReceivedTokens: 990, CallerReport: loader.Report{Classes: []loader.ClassSummary{{CompleteAnswerTokens: 600}, {CompleteAnswerTokens: 300}}}}
	assert.Assert(t, math.Abs(round.WastedFraction()-0.01) < 1e-9)
	assert.Assert(t, math.Abs(round.unfinishedFraction()-0.1) < 1e-9)
	assert.Equal(t, RoundResult{}.unfinishedFraction(), 0.0)
}

func TestScenarioChoosesBounds(t *testing.T) {
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
		report := sampleReport()
		report.Scenario, report.Overload = test.scenario, test.overload
		var text strings.Builder
		report.withStatistics().Print(&text)
		assert.Assert(t, strings.Contains(text.String(), test.want), text.String())
		assert.Equal(t, strings.Contains(text.String(), "share leaving"), test.scenario == "steady")
	}
}

func TestBoundsAreNotMetWithoutValidRounds(t *testing.T) {
	report := sampleReport()
	for i := range report.Policies[1].Rounds { // the router's own policy
		report.Policies[1].Rounds[i].Valid = false
	}
	for _, bound := range report.withStatistics().Bounds {
		assert.Assert(t, !bound.Met, bound.Measure)
		assert.Equal(t, bound.RoundCount, 0, bound.Measure)
	}
}

func TestPlotFailsWithoutPolicies(t *testing.T) {
	report := sampleReport()
	report.Policies = nil
	assert.ErrorContains(t, report.Plot(filepath.Join(t.TempDir(), "plot.svg")), "nothing to plot")
}

func TestPlotWritesPNGAndSVG(t *testing.T) {
	for _, name := range []string{"plot.png", "plot.svg"} {
		file := filepath.Join(t.TempDir(), name)
		assert.NilError(t, sampleReport().Plot(file))
		written, err := os.ReadFile(file)
		assert.NilError(t, err)
		assert.Assert(t, len(written) > 1000)
	}
}
