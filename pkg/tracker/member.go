package tracker

import (
	"time"
)

// Instance describes an instance as the platform lists it.
type Instance struct {
	Name string
	// Address is the address for callers, PeerAddress that for other instances.
	Address     string
	PeerAddress string
	DataCentre  string
	Leaving     bool
}

// State is the state of a member.
type State int

const (
	// Live members accept requests and have a share of the endpoints.
	Live State = iota
	// Leaving members only finish the requests that they have.
	Leaving
	// Suspect members did not answer this instance, and no other instance has
	// had an exchange with them lately either.
	Suspect
)

// String returns the state in lower case.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Leaving:
		return "leaving"
	default:
		return "suspect"
	}
}

// Member is an instance of the system and its state.
type Member struct {
	Instance
	// Incarnation grows with each start of an instance of the same name.
	Incarnation uint64
	State       State
	// Reachable reports whether fewer than MinMissedExchanges consecutive
	// exchanges with the member failed.
	Reachable bool
}

// LivenessReport tells a peer how long ago its sender itself had an exchange with an
// instance, and whether that instance is leaving.
type LivenessReport struct {
	Name        string
	Incarnation uint64
	Age         time.Duration
	Leaving     bool
}
