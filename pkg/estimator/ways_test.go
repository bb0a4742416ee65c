package estimator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/estimator"
)

// way is an estimator that is weighed.
type way interface {
	Estimate(now time.Time, key estimator.Key, limit int) estimator.Estimate
	Observe(now time.Time, key estimator.Key, tokens int)
}

// limits reserves the caller's limit.
type limits struct{}

func (limits) Estimate(_ time.Time, _ estimator.Key, limit int) estimator.Estimate {
	return estimator.Estimate{TokensToReserve: limit, Mean: limit}
}

func (limits) Observe(time.Time, estimator.Key, int) {}

// moments reserves a moving mean and deviations of a key, or of all answers
// for a key not yet seen.
type moments struct{ mean, square map[estimator.Key]float64 }

func (m moments) Estimate(_ time.Time, key estimator.Key, limit int) estimator.Estimate {
	if _, ok := m.mean[key]; !ok {
		key = estimator.Key{}
	}
	mean := m.mean[key]
	deviation := math.Sqrt(max(0, m.square[key]-mean*mean))

	return estimator.Estimate{TokensToReserve: min(limit, int(mean+0.67*deviation)), Mean: int(mean)}
}

func (m moments) Observe(_ time.Time, key estimator.Key, tokens int) {
	for _, k := range []estimator.Key{key, {}} {
		if _, ok := m.mean[k]; !ok {
			m.mean[k], m.square[k] = float64(tokens), float64(tokens*tokens)
		}
		m.mean[k] += 0.05 * (float64(tokens) - m.mean[k])
		m.square[k] += 0.05 * (float64(tokens*tokens) - m.square[k])
	}
}

// alone asks an estimator for workspaces only, without class and model.
type alone struct{ *estimator.Estimator }

func (a alone) Estimate(now time.Time, key estimator.Key, limit int) estimator.Estimate {
	return a.Estimator.Estimate(now, estimator.Key{Workspace: key.Workspace, Class: key.Workspace, Model: key.Workspace}, limit)
}

func (a alone) Observe(now time.Time, key estimator.Key, tokens int) {
	a.Estimator.Observe(now, estimator.Key{Workspace: key.Workspace, Class: key.Workspace, Model: key.Workspace}, tokens)
}

// scenarios draw the next answer's key and length at a part of the run.
var scenarios = map[string]func(rng *rand.Rand, part float64) (estimator.Key, float64){
	"steady": func(rng *rand.Rand, _ float64) (estimator.Key, float64) {
		k, mean := draw(rng, 10)

		return k, mean * math.Exp(rng.NormFloat64()*0.6)
	},
	"two-humps": func(rng *rand.Rand, _ float64) (estimator.Key, float64) {
		k, mean := draw(rng, 10)
		if rng.Float64() < 0.5 {
			return k, 12
		}

		return k, 2 * mean * math.Exp(rng.NormFloat64()*0.3)
	},
	"drift": func(rng *rand.Rand, part float64) (estimator.Key, float64) {
		k, mean := draw(rng, 10)
		if part > 0.5 {
			mean *= 4
		}

		return k, mean * math.Exp(rng.NormFloat64()*0.6)
	},
	"many": func(rng *rand.Rand, _ float64) (estimator.Key, float64) {
		k, mean := draw(rng, 20000)

		return k, mean * math.Exp(rng.NormFloat64()*0.6)
	},
}

// draw returns a key, and a mean that depends on its class and workspace.
func draw(rng *rand.Rand, workspaces int) (estimator.Key, float64) {
	class, workspace := rng.IntN(5), int(float64(workspaces)*math.Pow(rng.Float64(), 3))
	k := estimator.Key{Workspace: fmt.Sprint(workspace), Class: fmt.Sprint(class), Model: fmt.Sprint(class % 3)}

	return k, 60 * math.Exp2(float64(class)) * (0.5 + float64(workspace%7)/6)
}

// BenchmarkWays weighs estimators: the share of answers that fit in what is
// reserved, reserved over used, and the pinball loss over used.
//
//	go test ./pkg/estimator -run '^$' -bench Ways -benchtime 1x
func BenchmarkWays(b *testing.B) {
	ways := map[string]func() way{
		"limit":   func() way { return limits{} },
		"moments": func() way { return moments{map[estimator.Key]float64{}, map[estimator.Key]float64{}} },
		"alone":   func() way { return alone{estimator.New(estimator.DefaultSettings())} },
		"ours":    func() way { return estimator.New(estimator.DefaultSettings()) },
	}
	for _, scenario := range []string{"steady", "two-humps", "drift", "many"} {
		for _, name := range []string{"limit", "moments", "alone", "ours"} {
			b.Run(scenario+"/"+name, func(b *testing.B) {
				for b.Loop() {
					weigh(b, ways[name](), scenarios[scenario])
				}
			})
		}
	}
}

func weigh(b *testing.B, w way, next func(*rand.Rand, float64) (estimator.Key, float64)) {
	const answers, limit, part = 40000, 8192, 0.75
	rng := rand.New(rand.NewPCG(20261203, 4))
	var fit, reserved, used, loss float64
	for i := range answers {
		now := epoch.Add(time.Duration(i) * 50 * time.Millisecond)
		key, length := next(rng, float64(i)/answers)
		tokens := max(1, min(limit, int(length)))
		estimate := float64(w.Estimate(now, key, limit).TokensToReserve)
		w.Observe(now, key, tokens)
		missing := float64(tokens) - estimate
		if missing <= 0 {
			fit++
		}
		reserved += estimate
		used += float64(tokens)
		loss += max(part*missing, (part-1)*missing)
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*fit/answers, "%fit")
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
