package estimator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/estimator"
)

// candidate is an estimator that the benchmark compares with others.
type candidate interface {
	Estimate(now time.Time, key estimator.Key, limit int) estimator.Estimate
	Observe(now time.Time, key estimator.Key, tokens int)
}

// limitBaseline estimates that every answer reaches the caller's limit.
type limitBaseline struct{}

func (limitBaseline) Estimate(_ time.Time, _ estimator.Key, limit int) estimator.Estimate {
	return estimator.Estimate{TokensToReserve: limit, MeanTokens: limit}
}

func (limitBaseline) Observe(time.Time, estimator.Key, int) {}

// momentsBaseline estimates the mean plus 0.67 standard deviations, from moving averages
// by key. For a key without answers it uses those of all answers.
type momentsBaseline struct{ mean, meanSquare map[estimator.Key]float64 }

func (m momentsBaseline) Estimate(_ time.Time, key estimator.Key, limit int) estimator.Estimate {
	if _, ok := m.mean[key]; !ok {
		key = estimator.Key{}
	}
	mean := m.mean[key]
	deviation := math.Sqrt(max(0, m.meanSquare[key]-mean*mean))

	return estimator.Estimate{TokensToReserve: min(limit, int(mean+0.67*deviation)), MeanTokens: int(mean)}
}

func (m momentsBaseline) Observe(_ time.Time, key estimator.Key, tokens int) {
	for _, k := range []estimator.Key{key, {}} {
		if _, ok := m.mean[k]; !ok {
			m.mean[k], m.meanSquare[k] = float64(tokens), float64(tokens*tokens)
		}
		m.mean[k] += 0.05 * (float64(tokens) - m.mean[k])
		m.meanSquare[k] += 0.05 * (float64(tokens*tokens) - m.meanSquare[k])
	}
}

// workspaceOnlyBaseline is an Estimator that learns by workspace only. It puts the
// workspace in place of the class and the model, so that a workspace with few answers is
// estimated from all answers.
type workspaceOnlyBaseline struct{ *estimator.Estimator }

func (w workspaceOnlyBaseline) Estimate(now time.Time, key estimator.Key, limit int) estimator.Estimate {
	return w.Estimator.Estimate(now, estimator.Key{Workspace: key.Workspace, Class: key.Workspace, Model: key.Workspace}, limit)
}

func (w workspaceOnlyBaseline) Observe(now time.Time, key estimator.Key, tokens int) {
	w.Estimator.Observe(now, estimator.Key{Workspace: key.Workspace, Class: key.Workspace, Model: key.Workspace}, tokens)
}

// scenarios holds functions that draw the key and the length of the next answer, where
// progress is the fraction of the run that is over.
var scenarios = map[string]func(rng *rand.Rand, progress float64) (estimator.Key, float64){
	"steady": func(rng *rand.Rand, _ float64) (estimator.Key, float64) {
		k, mean := drawKeyAndMean(rng, 10)

		return k, mean * math.Exp(rng.NormFloat64()*0.6)
	},
	"two-humps": func(rng *rand.Rand, _ float64) (estimator.Key, float64) {
		k, mean := drawKeyAndMean(rng, 10)
		if rng.Float64() < 0.5 {
			return k, 12
		}

		return k, 2 * mean * math.Exp(rng.NormFloat64()*0.3)
	},
	"drift": func(rng *rand.Rand, progress float64) (estimator.Key, float64) {
		k, mean := drawKeyAndMean(rng, 10)
		if progress > 0.5 {
			mean *= 4
		}

		return k, mean * math.Exp(rng.NormFloat64()*0.6)
	},
	"many": func(rng *rand.Rand, _ float64) (estimator.Key, float64) {
		k, mean := drawKeyAndMean(rng, 20000)

		return k, mean * math.Exp(rng.NormFloat64()*0.6)
	},
}

// drawKeyAndMean draws a key and returns it with the mean length of its answers, which
// depends on its class and workspace.
func drawKeyAndMean(rng *rand.Rand, workspaces int) (estimator.Key, float64) {
	class, workspace := rng.IntN(5), int(float64(workspaces)*math.Pow(rng.Float64(), 3))
	k := estimator.Key{Workspace: fmt.Sprint(workspace), Class: fmt.Sprint(class), Model: fmt.Sprint(class % 3)}

	return k, 60 * math.Exp2(float64(class)) * (0.5 + float64(workspace%7)/6)
}

// BenchmarkCandidates compares estimators by the percentage of answers that fit in the
// reserved tokens, the ratio of reserved to used tokens, and the ratio of the pinball
// loss at quantile 0.75 to used tokens.
//
//	go test ./pkg/estimator -run '^$' -bench Candidates -benchtime 1x
func BenchmarkCandidates(b *testing.B) {
	candidates := map[string]func() candidate{
		"limit":   func() candidate { return limitBaseline{} },
		"moments": func() candidate { return momentsBaseline{map[estimator.Key]float64{}, map[estimator.Key]float64{}} },
		"alone":   func() candidate { return workspaceOnlyBaseline{estimator.New(estimator.DefaultSettings())} },
		"ours":    func() candidate { return estimator.New(estimator.DefaultSettings()) },
	}
	for _, scenario := range []string{"steady", "two-humps", "drift", "many"} {
		for _, name := range []string{"limit", "moments", "alone", "ours"} {
			b.Run(scenario+"/"+name, func(b *testing.B) {
				for b.Loop() {
					measureCandidate(b, candidates[name](), scenarios[scenario])
				}
			})
		}
	}
}

// measureCandidate runs 40000 answers of a scenario and reports the metrics.
func measureCandidate(b *testing.B, c candidate, drawAnswer func(*rand.Rand, float64) (estimator.Key, float64)) {
	const answers, limit, quantile = 40000, 8192, 0.75
	rng := rand.New(rand.NewPCG(20261203, 4))
	var fitting, reserved, used, loss float64
	for i := range answers {
		now := epoch.Add(time.Duration(i) * 50 * time.Millisecond)
		key, length := drawAnswer(rng, float64(i)/answers)
		tokens := max(1, min(limit, int(length)))
		estimate := float64(c.Estimate(now, key, limit).TokensToReserve)
		c.Observe(now, key, tokens)
		shortfall := float64(tokens) - estimate
		if shortfall <= 0 {
			fitting++
		}
		reserved += estimate
		used += float64(tokens)
		loss += max(quantile*shortfall, (quantile-1)*shortfall)
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*fitting/answers, "%fit")
	b.ReportMetric(reserved/used, "reserved/used")
	b.ReportMetric(loss/used, "loss/used")
}

func BenchmarkEstimate(b *testing.B) {
	e := estimator.New(estimator.DefaultSettings())
	rng := rand.New(rand.NewPCG(1, 4))
	for range 100000 {
		key, length := scenarios["many"](rng, 0)
		e.Observe(epoch, key, int(length))
	}
	key, _ := scenarios["many"](rng, 0)
	b.Run("estimate", func(b *testing.B) {
		for b.Loop() {
			e.Estimate(epoch, key, 4096)
		}
	})
	b.Run("observe", func(b *testing.B) {
		for b.Loop() {
			e.Observe(epoch, key, 300)
		}
	})
}
