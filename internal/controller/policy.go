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
	// Picker makes what replaces the balancer, one for each router.
	Picker func(dataCentre string, random *rand.Rand) Picker
	// ReserveLimit reserves the caller's limit and not an estimate.
	ReserveLimit bool
	// KnownLengths reserves Request.Length when it is known.
	KnownLengths bool
	// FirstCome serves in the order of arrival: one tier, one workspace.
	FirstCome bool
}

func (p Policy) picker(dataCentre string, random *rand.Rand) Picker {
	if p.Picker != nil {
		return p.Picker(dataCentre, random)
	}

	return balancer.New(balancer.Settings{DataCentre: dataCentre}, random)
}
