// Package autoscaler decides how many endpoints of a service are ordered in each data centre, and of
// which kind: regular ones, or spot ones, which cost less and may all be reclaimed in one data centre
// at a few seconds' notice.
//
// It handles bursts of a few times the usual demand that last little longer than an endpoint takes to
// boot, demand that swings within seconds, crashes of a quarter of the endpoints, reclaimed spot
// endpoints, and orders that are lost, refused or executed late.
//
// Counts rise at once and fall slowly: only after the highest demand of a window no longer needs
// them, by a step of a few percent at a time. Endpoints are counted in the registry; an order is
// repeated until the registry shows its number. What the registry shows beyond is adopted, and then
// reduced like any other surplus. While a result is in doubt, nothing is reduced, since a reduction
// may still be executed.
//
// Of the capacity, regular endpoints hold what cannot be postponed and most of the mean demand. Spot
// endpoints hold the rest of the demand and the headroom for bursts, as far as the loss of those of
// any one data centre leaves enough. An Autoscaler is not safe for concurrent use.
package autoscaler

import "time"

// Settings are the margins and times of an Autoscaler. DefaultSettings states the reasons.
type Settings struct {
	// Window is the time for which the highest demand determines how far counts may fall, and
	// PeakMemory the time for which it determines the headroom.
	Window, PeakMemory time.Duration
	// MaxDemandAge is the age of a report of demand up to which counts may change by it.
	MaxDemandAge time.Duration
	// LossShare is the share of the endpoints whose loss leaves enough for the window's demand.
	LossShare float64
	// BurstFactor is the multiple of the mean demand for which endpoints are held ready, as far as
	// spot endpoints can be had for it.
	BurstFactor float64
	// RegularShare is the share of the mean demand that regular endpoints hold, and CriticalMargin
	// the multiple of the demand that cannot be postponed.
	RegularShare, CriticalMargin float64
	// Margin is the multiple of a data centre's demand for which it has endpoints of its own.
	Margin float64
	// ColdShare is how many more endpoints are ordered for each that is missing, since new ones have
	// cached nothing.
	ColdShare float64
	// ReduceInterval is the time between two reductions in a data centre, ReduceShare the share of
	// the endpoints that one removes at the most, but at least one.
	ReduceInterval time.Duration
	ReduceShare    float64
	// SettleTime is how long after its boot an ordered endpoint is expected in the registry.
	SettleTime time.Duration
	// SpotRetryDelay is the time after which spot endpoints are ordered again where there were none.
	SpotRetryDelay time.Duration
	// DoubtTime is how long a call without an answer may still be executed.
	DoubtTime time.Duration
}

// DefaultSettings returns the settings for streams that must begin within some hundred milliseconds.
func DefaultSettings() Settings {
	return Settings{
		// Two swings of demand of 11 s, or one of 15 s and the rise of the next.
		Window: 22 * time.Second,
		// Bursts come minutes apart; the first one finds only the headroom.
		PeakMemory: 2 * time.Minute,
		// Summaries come twice a second; several in a row may be lost.
		MaxDemandAge: 5 * time.Second,
		LossShare:    0.25,
		// A burst of 2.3 to 2.8 times the long prompts is about twice the whole demand.
		BurstFactor:  2,
		RegularShare: 0.75, CriticalMargin: 1.15,
		Margin: 1.1, ColdShare: 0.25,
		// Removed engines take cached prefixes along; their groups are prefilled elsewhere meanwhile.
		ReduceInterval: 2 * time.Second, ReduceShare: 0.05,
		// A listing is up to two seconds old.
		SettleTime:     2500 * time.Millisecond,
		SpotRetryDelay: 10 * time.Second,
		DoubtTime:      10 * time.Second,
	}
}

// Limits are the limits and prices of a service's endpoints.
type Limits struct {
	// Min and Max limit the endpoints of each data centre, of both kinds together.
	Min, Max int
	// BootTime is the time from an order until an endpoint serves.
	BootTime time.Duration
	// SpotPrice is the price of spot endpoints as a share of that of others. There are none unless it
	// is over 0 and below 1.
	SpotPrice float64
	// Prices are those of an endpoint by data centre; where there is none, 1.
	Prices map[string]float64
}

// Observation is what is known of a service at a time.
type Observation struct {
	Service     string
	Limits      Limits
	DataCentres []DataCentre
}

// DataCentre is what is known of a service in a data centre.
type DataCentre struct {
	Name string
	// Demand is the work that arrives, whether it is served or not, as a number of endpoints at
	// their target utilisation; Critical is the part of it that cannot be postponed.
	Demand, Critical float64
	// DemandAge is the age of Demand. Without HasDemand nothing is known of it.
	DemandAge time.Duration
	HasDemand bool
	// Regular and Spot are the registered endpoints that do not leave, LeavingSpot the spot ones that do.
	Regular, Spot, LeavingSpot int
}

// Order is a number of endpoints of one kind to order.
type Order struct {
	Service, DataCentre string
	Count               int
	Spot                bool
	// Previous is the number that was last ordered or found, Registered that in the registry.
	Previous, Registered int
	// Demand is the highest demand of the window in the data centre, and Price that of one endpoint.
	Demand, Price float64
	// IsRepeat is true if the same number was ordered before.
	IsRepeat bool
}

// Outcome is how an order ended.
type Outcome int

// The outcomes of an order.
const (
	// Done means that the order was accepted.
	Done Outcome = iota
	// Unavailable means that there are no endpoints of the kind at the moment.
	Unavailable
	// RateLimited means that the order was refused because of too many calls.
	RateLimited
	// NotExecuted means that the order did not and will not take effect.
	NotExecuted
	// InDoubt means that the order may have been executed or may be later.
	InDoubt
)

// String returns the outcome's name for logs.
func (o Outcome) String() string {
	return [...]string{"done", "unavailable", "rate-limited", "not-executed", "in-doubt"}[o]
}
