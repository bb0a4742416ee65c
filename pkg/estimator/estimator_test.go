package estimator_test

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/estimator"
)

func init() { _ = flag.Set("rapid.seed", "20261203") }

var epoch = time.Unix(1_000_000, 0)

// finishedAnswer is an answer that the naive estimator keeps.
type finishedAnswer struct {
	finishedAt time.Time
	key        estimator.Key
	tokens     int
}

// naiveEstimator keeps every answer and computes the weighted distribution anew for each
// estimate, without buckets.
type naiveEstimator struct {
	settings estimator.Settings
	answers  []finishedAnswer
}

// weightedLengths returns the weight of each observed length for a key, and of the prior,
// without lengths of at most the generated tokens.
func (n *naiveEstimator) weightedLengths(key estimator.Key, generated int) map[float64]float64 {
	weights := map[float64]float64{}
	unassigned := 1.0
	groups := []estimator.Key{key, {Class: key.Class, Model: key.Model}, {Model: key.Model}, {}}
	for _, group := range groups {
		groupWeights := map[float64]float64{}
		groupTotal := 0.0
		newerAnswers := 0.0
		for _, a := range slices.Backward(n.answers) {
			match := (group.Workspace == "" || group.Workspace == a.key.Workspace) &&
				(group.Class == "" || group.Class == a.key.Class) && (group.Model == "" || group.Model == a.key.Model)
			if match {
				age := n.answers[len(n.answers)-1].finishedAt.Sub(a.finishedAt)
				weight := math.Exp2(-float64(age)/float64(n.settings.HalfLife)) * math.Pow(1-1/float64(n.settings.MaxEffectiveAnswers), newerAnswers)
				newerAnswers++
				groupWeights[float64(a.tokens)] += weight
				groupTotal += weight
			}
		}
		for tokens, weight := range groupWeights {
			weights[tokens] += unassigned * weight / (groupTotal + 8)
		}
		unassigned -= unassigned * groupTotal / (groupTotal + 8)
	}
	weights[float64(n.settings.PriorTokens)] += unassigned
	for tokens := range weights {
		if tokens <= float64(generated) {
			delete(weights, tokens)
		}
	}

	return weights
}

// quantileBounds returns the lengths at the quantile minus and plus the tolerance, which
// is a fraction of the total weight.
func quantileBounds(weights map[float64]float64, quantile, tolerance float64) (float64, float64) {
	lengths, total := make([]float64, 0, len(weights)), 0.0
	for tokens, weight := range weights {
		lengths = append(lengths, tokens)
		total += weight
	}
	sort.Float64s(lengths)
	low, high, sum := lengths[0], lengths[len(lengths)-1], 0.0
	for _, tokens := range lengths {
		if sum <= total*(quantile-tolerance) {
			low = tokens
		}
		if sum <= total*(quantile+tolerance) {
			high = tokens
		}
		sum += weights[tokens]
	}

	return low, high
}

func drawKey(t *rapid.T) estimator.Key {
	return estimator.Key{
		Workspace: rapid.SampledFrom([]string{"u", "v", "w"}).Draw(t, "workspace"),
		Class:     rapid.SampledFrom([]string{"chat", "notes"}).Draw(t, "class"),
		Model:     rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model"),
	}
}

// The sketches must give the same estimates as a naive estimator that keeps all answers,
// to within a bucket: buckets are a factor of 2^(1/4), or 1.19, apart.
func TestEstimateMatchesNaiveEstimator(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := estimator.Settings{
			Quantile:            rapid.Float64Range(0.2, 0.95).Draw(t, "quantile"),
			HalfLife:            time.Duration(rapid.IntRange(1, 100).Draw(t, "halfLife")) * time.Minute,
			MaxEffectiveAnswers: rapid.IntRange(2, 50).Draw(t, "memory"),
			PriorTokens:         rapid.IntRange(1, 4000).Draw(t, "prior"),
		}
		e := estimator.New(settings)
		n := &naiveEstimator{settings: settings}
		now := epoch
		for range rapid.IntRange(1, 80).Draw(t, "answers") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "seconds")) * time.Second)
			a := finishedAnswer{finishedAt: now, key: drawKey(t), tokens: rapid.IntRange(1, 8000).Draw(t, "tokens")}
			e.Observe(now, a.key, a.tokens)
			n.answers = append(n.answers, a)
		}
		key := drawKey(t)
		low, high := quantileBounds(n.weightedLengths(key, 0), settings.Quantile, 1e-3)
		got := float64(e.Estimate(now, key, 0).TokensToReserve)
		assert.Assert(t, got >= low/1.2-1 && got <= high*1.2+1, "%v is not in %v to %v", got, low, high)
	})
}

// Estimates must be positive and within the caller's limit, and the number of groups must
// stay within Settings.MaxGroups, also when time goes backwards.
func TestEstimatesAndGroupCountStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxGroups := rapid.IntRange(1, 12).Draw(t, "keys")
		e := estimator.New(estimator.Settings{MaxGroups: maxGroups})
		now := epoch
		for range rapid.IntRange(0, 60).Draw(t, "answers") {
			now = now.Add(time.Duration(rapid.IntRange(-5, 5_000_000).Draw(t, "seconds")) * time.Second)
			e.Observe(now, drawKey(t), rapid.IntRange(-1, 1_000_000).Draw(t, "tokens"))
			assert.Assert(t, e.GroupCount() <= max(maxGroups, 4))
		}
		key, limit := drawKey(t), rapid.IntRange(0, 5000).Draw(t, "limit")
		generated := rapid.IntRange(0, 6000).Draw(t, "made")
		total, remaining := e.Estimate(now, key, limit), e.Remaining(now, key, limit, generated)
		assert.Assert(t, total.TokensToReserve > 0 && total.MeanTokens > 0)
		assert.Assert(t, limit == 0 || total.TokensToReserve <= limit && total.MeanTokens <= limit)
		assert.Assert(t, remaining.TokensToReserve > 0 && remaining.MeanTokens > 0 || limit > 0 && generated >= limit && remaining.TokensToReserve == 0)
		assert.Assert(t, limit == 0 || remaining.TokensToReserve <= max(0, limit-generated))
	})
}

func TestRemainingGrowsWhenAnswerIsLongerThanAllObserved(t *testing.T) {
	e := estimator.New(estimator.DefaultSettings())
	key := estimator.Key{Workspace: "spa", Class: "notes", Model: "m"}
	for i := range 200 {
		e.Observe(epoch, key, 100+i%100)
	}
	typical, outlier := e.Remaining(epoch, key, 0, 120), e.Remaining(epoch, key, 0, 3000)
	assert.Assert(t, typical.TokensToReserve >= 40 && typical.TokensToReserve <= 100, "%v", typical)
	assert.Assert(t, outlier.TokensToReserve >= 1000 && outlier.TokensToReserve <= 4000, "%v", outlier)
}

func Example() {
	e := estimator.New(estimator.Settings{Quantile: 0.8})
	chat := estimator.Key{Workspace: "spa", Class: "chat", Model: "m"}
	for range 1000 {
		e.Observe(epoch, chat, 64)
	}
	fmt.Println(e.Estimate(epoch, chat, 4096).TokensToReserve, e.Estimate(epoch, chat, 50).TokensToReserve)
	// Output: 62 50
}
