package comparer

import (
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/controller"
	"github.com/oleanderpick/oleanderpick/internal/runner"
	"github.com/oleanderpick/oleanderpick/pkg/balancer"
)

// Names of the policies. The first two are baselines: they serve requests in order of
// arrival and reserve what callers ask for.
const (
	RoundRobinPolicy   = "naive"
	LeastLoadedPolicy  = "leastloaded"
	RouterPolicy       = "ours"  // as the router serves
	KnownLengthsPolicy = "known" // RouterPolicy that knows each answer's true length
	// NoReportLagPolicy is RouterPolicy with load reports that are never late, and
	// SingleInstancePolicy is RouterPolicy with one instance. They show what late
	// reports and sharing the engines between instances cost.
	NoReportLagPolicy    = "nolag"
	SingleInstancePolicy = "one"
)

// DefaultPolicies returns the names of the policies that are compared by default.
func DefaultPolicies() []string {
	return []string{RoundRobinPolicy, LeastLoadedPolicy, RouterPolicy, KnownLengthsPolicy}
}

// variant is what a policy changes in a deployment.
type variant struct {
	options   runner.Options
	reportLag time.Duration
	instances int
}

// newVariant returns the variant for a policy by its name, or an error if there is no
// such policy. It calls recordEjection with each endpoint that the router's balancer
// ejects.
func newVariant(name string, settings Settings, recordEjection func(string)) (variant, error) {
	result := variant{reportLag: settings.ReportLag, instances: settings.Instances}
	baseline := controller.Policy{ReserveTokenLimit: true, FirstComeFirstServed: true}
	router := controller.Policy{NewPicker: func(dataCentre string, random *rand.Rand) controller.Picker {
		return ejectionObserver{Balancer: balancer.New(balancer.Settings{DataCentre: dataCentre}, random), recordEjection: recordEjection}
	}}
	switch name {
	case RoundRobinPolicy:
		baseline.NewPicker = newRoundRobin
		result.options.Policy = baseline
	case LeastLoadedPolicy:
		baseline.NewPicker = newLeastLoaded
		result.options.Policy = baseline
	case RouterPolicy:
		result.options.Policy = router
	case KnownLengthsPolicy:
		router.UseKnownLengths = true
		result.options = runner.Options{Policy: router, AcceptKnownLengths: true}
	case NoReportLagPolicy:
		result.options.Policy = router
		result.reportLag = 0
	case SingleInstancePolicy:
		result.options.Policy = router
		result.instances = 1
	default:
		return variant{}, errors.Errorf("no policy %q", name)
	}
	result.options.Seed = settings.Seed

	return result, nil
}

// AllPolicies returns the names of every policy.
func AllPolicies() []string {
	return append(DefaultPolicies(), NoReportLagPolicy, SingleInstancePolicy)
}

// CheckPolicies returns an error if there is no policy of one of the names.
func (s Settings) CheckPolicies() error {
	for _, name := range s.Policies {
		if _, err := newVariant(name, s, func(string) {}); err != nil {
			return err
		}
	}

	return nil
}
