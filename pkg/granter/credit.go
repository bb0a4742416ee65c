package granter

import "time"

// TierCount is the number of priority tiers. Tier 0 has the highest priority.
const TierCount = 5

// Credit is an amount of an endpoint's capacity.
type Credit struct {
	Slots, Tokens int
}

func (c Credit) plus(other Credit) Credit {
	return Credit{Slots: c.Slots + other.Slots, Tokens: c.Tokens + other.Tokens}
}

// minus subtracts other from c, with a minimum of zero in each component.
func (c Credit) minus(other Credit) Credit {
	return Credit{Slots: max(0, c.Slots-other.Slots), Tokens: max(0, c.Tokens-other.Tokens)}
}

// componentMax returns the larger number of slots and the larger number of tokens.
func (c Credit) componentMax(other Credit) Credit {
	return Credit{Slots: max(c.Slots, other.Slots), Tokens: max(c.Tokens, other.Tokens)}
}

// componentMin returns the smaller number of slots and the smaller number of tokens.
func (c Credit) componentMin(other Credit) Credit {
	return Credit{Slots: min(c.Slots, other.Slots), Tokens: min(c.Tokens, other.Tokens)}
}

// Endpoint describes an endpoint whose capacity is shared between instances.
type Endpoint struct {
	Name       string
	Group      string // equal for all endpoints that can serve the same requests
	DataCentre string
	Slots      int
	Tokens     int // 0 if the number of tokens is not limited
}

// CreditRequest reports a borrower's use of an endpoint and its demand to the endpoint's
// home, which answers with a Grant.
type CreditRequest struct {
	Endpoint        string
	InUse           Credit            // capacity that the borrower's requests in flight use
	Waiting         [TierCount]Credit // demand of the borrower's waiting requests, by tier
	UnexpiredCredit Credit            // credit of the borrower's last grant, if it hasn't expired
	GrantEpoch      uint64            // epoch of the newest grant received from this home, or 0
	RequestedAt     time.Time         // when the request was made, by the borrower's clock
}

// Grant is the credit that a home lends a borrower. It replaces all earlier
// grants for the endpoint.
type Grant struct {
	Endpoint    string
	Credit      Credit        // total, including the capacity already in use
	TTL         time.Duration // how long the credit lasts, counted from RequestedAt
	Epoch       uint64        // increases with every grant of one home
	RequestedAt time.Time     // copied from the credit request
}
