package comparer

import (
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/controller"
	"github.com/oleanderpick/oleanderpick/internal/runner"
	"github.com/oleanderpick/oleanderpick/pkg/balancer"
)

// Names of the policies.
const (
	Naive       = "naive"
	LeastLoaded = "leastloaded"
	Ours        = "ours"
	Known       = "known"
	// NoLag is ours with load reports that are not late, One ours with one
	// instance: what ours is held against when reports lag and when several
	// instances share the engines.
	NoLag = "nolag"
	One   = "one"
)

// DefaultPolicies are those compared unless others are named.
func DefaultPolicies() []string {
	return []string{Naive, LeastLoaded, Ours, Known}
}

// variant is a policy with what it changes of the settings.
type variant struct {
	options   runner.Options
	lag       time.Duration
	instances int
}

// variantOf returns a policy by its name. The noted endpoints are those that
// the router's own balancer ejects.
func variantOf(name string, settings Settings, ejected func(string)) (variant, error) {
	chosen := variant{lag: settings.Lag, instances: settings.Instances}
	baseline := controller.Policy{ReserveTokenLimit: true, FirstComeFirstServed: true}
	ours := controller.Policy{NewPicker: func(dataCentre string, random *rand.Rand) controller.Picker {
		return watched{Balancer: balancer.New(balancer.Settings{DataCentre: dataCentre}, random), ejected: ejected}
	}}
	switch name {
	case Naive:
		baseline.NewPicker = newRoundRobin
		chosen.options.Policy = baseline
	case LeastLoaded:
		baseline.NewPicker = newLeastLoaded
		chosen.options.Policy = baseline
	case Ours:
		chosen.options.Policy = ours
	case Known:
		ours.UseKnownLengths = true
		chosen.options = runner.Options{Policy: ours, AcceptKnownLengths: true}
	case NoLag:
		chosen.options.Policy = ours
		chosen.lag = 0
	case One:
		chosen.options.Policy = ours
		chosen.instances = 1
	default:
		return variant{}, errors.Errorf("no policy %q", name)
	}
	chosen.options.Seed = settings.Seed

	return chosen, nil
}

// AllPolicies returns the names of every policy.
func AllPolicies() []string {
	return append(DefaultPolicies(), NoLag, One)
}

// CheckPolicies returns an error when a policy's name is not known.
func (s Settings) CheckPolicies() error {
	for _, name := range s.Policies {
		if _, err := variantOf(name, s, func(string) {}); err != nil {
			return err
		}
	}

	return nil
}
