package controller

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/balancer"
)

// Picker chooses endpoints; *balancer.Balancer is the router's own.
type Picker interface {
	Configure(now time.Time, endpoints []balancer.Endpoint)
	Pick(now time.Time, ask balancer.Request, room balancer.CapacityFunc) (balancer.Choice, bool)
	RecordStart(now time.Time, id uint64, endpoint string, ask balancer.Request)
	RecordProgress(now time.Time, id uint64, made int)
	RecordEnd(now time.Time, id uint64, result balancer.Result)
	RecordLoad(now time.Time, endpoint string, load balancer.LoadReport)
	SetLeaving(now time.Time, endpoint string)
	States() []balancer.State
}

// Policy is what an experiment may change of the decisions. The zero value is
// the router as it serves.
type Policy struct {
	// NewPicker makes what replaces the balancer, one for each router.
	NewPicker func(dataCentre string, random *rand.Rand) Picker
	// ReserveTokenLimit reserves the caller's limit and not an estimate.
	ReserveTokenLimit bool
	// UseKnownLengths reserves Request.Length when it is known.
	UseKnownLengths bool
	// FirstComeFirstServed serves in the order of arrival: one tier, one workspace.
	FirstComeFirstServed bool
}

func (p Policy) picker(dataCentre string, random *rand.Rand) Picker {
	if p.NewPicker != nil {
		return p.NewPicker(dataCentre, random)
	}

	return balancer.New(balancer.Settings{DataCentre: dataCentre}, random)
}
