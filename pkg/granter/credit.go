package granter

import "time"

// Tiers is the number of priority tiers; 0 is the highest.
const Tiers = 5

// Credit is an amount of an endpoint's capacity.
type Credit struct {
	Slots, Tokens int
}

func (c Credit) plus(other Credit) Credit {
	return Credit{Slots: c.Slots + other.Slots, Tokens: c.Tokens + other.Tokens}
}

// minus is what is left, never below nothing.
func (c Credit) minus(other Credit) Credit {
	return Credit{Slots: max(0, c.Slots-other.Slots), Tokens: max(0, c.Tokens-other.Tokens)}
}

// or is the larger in each dimension.
func (c Credit) or(other Credit) Credit {
	return Credit{Slots: max(c.Slots, other.Slots), Tokens: max(c.Tokens, other.Tokens)}
}

// within is the smaller in each dimension.
func (c Credit) within(other Credit) Credit {
	return Credit{Slots: min(c.Slots, other.Slots), Tokens: min(c.Tokens, other.Tokens)}
}

// Endpoint is an endpoint whose capacity is shared.
type Endpoint struct {
	Name       string
	Group      string // the same for endpoints that serve the same requests
	DataCentre string
	Slots      int
	Tokens     int // 0: tokens are not limited
}

// CreditRequest is what a borrower asks an endpoint's home for.
type CreditRequest struct {
	Endpoint        string
	InUse           Credit        // in use now
	Waiting         [Tiers]Credit // waiting demand by tier
	UnexpiredCredit Credit        // unexpired credit of an earlier grant
	GrantEpoch      uint64        // of the newest grant taken in
	RequestedAt     time.Time     // borrower's clock when it asked
}

// Grant is what a home lends a borrower, in place of all earlier grants.
type Grant struct {
	Endpoint    string
	Credit      Credit        // includes what is in use
	TTL         time.Duration // counted from Asked
	Epoch       uint64        // orders the grants of one home
	RequestedAt time.Time     // copied from the want
}
