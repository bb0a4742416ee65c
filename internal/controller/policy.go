package controller

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/balancer"
)

// Picker chooses an endpoint for each request. Routers use *balancer.Balancer;
// experiments may use other implementations.
type Picker interface {
	Configure(now time.Time, endpoints []balancer.Endpoint)
	Pick(now time.Time, request balancer.Request, hasCapacity balancer.CapacityFunc) (balancer.Choice, bool)
	RecordStart(now time.Time, id uint64, endpoint string, request balancer.Request)
	RecordProgress(now time.Time, id uint64, receivedTokens int)
	RecordEnd(now time.Time, id uint64, result balancer.Result)
	RecordLoad(now time.Time, endpoint string, load balancer.LoadReport)
	SetLeaving(now time.Time, endpoint string)
	States() []balancer.State
}

// Policy replaces some of the decisions for an experiment. The zero value selects
// the behaviour in production.
type Policy struct {
	// NewPicker creates the Picker that one router uses instead of a Balancer; nil
	// selects the Balancer.
	NewPicker func(dataCentre string, random *rand.Rand) Picker
	// ReserveTokenLimit makes the controller reserve the caller's limit of answer tokens
	// instead of an estimate.
	ReserveTokenLimit bool
	// UseKnownLengths makes the controller reserve the true length of the answer, if
	// the request states it.
	UseKnownLengths bool
	// FirstComeFirstServed makes the scheduler serve requests in the order of
	// arrival, as if all had the same tier, class and workspace.
	FirstComeFirstServed bool
}

func (p Policy) buildPicker(dataCentre string, random *rand.Rand) Picker {
	if p.NewPicker != nil {
		return p.NewPicker(dataCentre, random)
	}

	return balancer.New(balancer.Settings{DataCentre: dataCentre}, random)
}
