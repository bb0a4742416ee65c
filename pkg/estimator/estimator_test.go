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

// answer is a finished answer.
type answer struct {
	at     time.Time
	key    estimator.Key
	tokens int
}

// naive keeps every answer and mixes weighted ones.
type naive struct {
	settings estimator.Settings
	answers  []answer
}

// weighted returns lengths with their weights for a key, longer than made.
func (n *naive) weighted(key estimator.Key, made int) map[float64]float64 {
	weights := map[float64]float64{}
	left := 1.0
	groups := []estimator.Key{key, {Class: key.Class, Model: key.Model}, {Model: key.Model}, {}}
	for _, group := range groups {
		own := map[float64]float64{}
		seen := 0.0
		later := 0.0
		for _, a := range slices.Backward(n.answers) {
			match := (group.Workspace == "" || group.Workspace == a.key.Workspace) &&
				(group.Class == "" || group.Class == a.key.Class) && (group.Model == "" || group.Model == a.key.Model)
			if match {
				age := n.answers[len(n.answers)-1].at.Sub(a.at)
				weight := math.Exp2(-float64(age)/float64(n.settings.HalfLife)) * math.Pow(1-1/float64(n.settings.Memory), later)
				later++
				own[float64(a.tokens)] += weight
				seen += weight
			}
		}
		for tokens, weight := range own {
			weights[tokens] += left * weight / (seen + 8)
		}
		left -= left * seen / (seen + 8)
	}
	weights[float64(n.settings.Prior)] += left
	for tokens := range weights {
		if tokens <= float64(made) {
			delete(weights, tokens)
		}
	}

	return weights
}

// band returns the lengths between which the quantile lies, give or take some
// of the weight.
func band(weights map[float64]float64, quantile, slack float64) (float64, float64) {
	lengths, total := make([]float64, 0, len(weights)), 0.0
	for tokens, weight := range weights {
		lengths = append(lengths, tokens)
		total += weight
	}
	sort.Float64s(lengths)
	low, high, sum := lengths[0], lengths[len(lengths)-1], 0.0
	for _, tokens := range lengths {
		if sum <= total*(quantile-slack) {
			low = tokens
		}
		if sum <= total*(quantile+slack) {
			high = tokens
		}
		sum += weights[tokens]
	}

	return low, high
}

func key(t *rapid.T) estimator.Key {
	return estimator.Key{
		Workspace: rapid.SampledFrom([]string{"u", "v", "w"}).Draw(t, "workspace"),
		Class:     rapid.SampledFrom([]string{"chat", "notes"}).Draw(t, "class"),
		Model:     rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model"),
	}
}

// TestNaive checks estimates to within a bucket of what the naive version
// finds with all answers at hand.
func TestNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := estimator.Settings{
			Quantile: rapid.Float64Range(0.2, 0.95).Draw(t, "quantile"),
			HalfLife: time.Duration(rapid.IntRange(1, 100).Draw(t, "halfLife")) * time.Minute,
			Memory:   rapid.IntRange(2, 50).Draw(t, "memory"),
			Prior:    rapid.IntRange(1, 4000).Draw(t, "prior"),
		}
		e := estimator.New(settings)
		n := &naive{settings: settings}
		now := epoch
		for range rapid.IntRange(1, 80).Draw(t, "answers") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "seconds")) * time.Second)
			a := answer{at: now, key: key(t), tokens: rapid.IntRange(1, 8000).Draw(t, "tokens")}
			e.Observe(now, a.key, a.tokens)
			n.answers = append(n.answers, a)
		}
		asked := key(t)
		low, high := band(n.weighted(asked, 0), settings.Quantile, 1e-3)
		got := float64(e.Estimate(now, asked, 0).TokensToReserve)
		assert.Assert(t, got >= low/1.2-1 && got <= high*1.2+1, "%v is not in %v to %v", got, low, high)
	})
}

// TestBounds checks limits, memory and what is still to come.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.IntRange(1, 12).Draw(t, "keys")
		e := estimator.New(estimator.Settings{Keys: bound})
		now := epoch
		for range rapid.IntRange(0, 60).Draw(t, "answers") {
			now = now.Add(time.Duration(rapid.IntRange(-5, 5_000_000).Draw(t, "seconds")) * time.Second)
			e.Observe(now, key(t), rapid.IntRange(-1, 1_000_000).Draw(t, "tokens"))
			assert.Assert(t, e.Keys() <= max(bound, 4))
		}
		asked, limit := key(t), rapid.IntRange(0, 5000).Draw(t, "limit")
		made := rapid.IntRange(0, 6000).Draw(t, "made")
		whole, rest := e.Estimate(now, asked, limit), e.Remaining(now, asked, limit, made)
		assert.Assert(t, whole.TokensToReserve > 0 && whole.Mean > 0)
		assert.Assert(t, limit == 0 || whole.TokensToReserve <= limit && whole.Mean <= limit)
		assert.Assert(t, rest.TokensToReserve > 0 && rest.Mean > 0 || limit > 0 && made >= limit && rest.TokensToReserve == 0)
		assert.Assert(t, limit == 0 || rest.TokensToReserve <= max(0, limit-made))
	})
}

func TestRemainingGrowsOnceOutlived(t *testing.T) {
	e := estimator.New(estimator.DefaultSettings())
	asked := estimator.Key{Workspace: "spa", Class: "notes", Model: "m"}
	for i := range 200 {
		e.Observe(epoch, asked, 100+i%100)
	}
	within, beyond := e.Remaining(epoch, asked, 0, 120), e.Remaining(epoch, asked, 0, 3000)
	assert.Assert(t, within.TokensToReserve >= 40 && within.TokensToReserve <= 100, "%v", within)
	assert.Assert(t, beyond.TokensToReserve >= 1000 && beyond.TokensToReserve <= 4000, "%v", beyond)
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
