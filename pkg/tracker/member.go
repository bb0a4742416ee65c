package tracker

import (
	"time"
)

// Instance is an instance as the platform lists it.
type Instance struct {
	Name string
	// Address is where callers reach it, Peer where instances do.
	Address     string
	PeerAddress string
	DataCentre  string
	Leaving     bool
}

// State is what is known of a member.
type State int

const (
	// Live members take requests and hold shares of the endpoints.
	Live State = iota
	// Leaving members finish what they have.
	Leaving
	// Suspect members did not answer and nobody has heard of them lately.
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

// Member is an instance of the system.
type Member struct {
	Instance
	// Incarnation tells starts of the same name apart; it grows.
	Incarnation uint64
	State       State
	// Reachable says that exchanges with it succeed.
	Reachable bool
}

// LivenessReport says how long ago a peer itself heard an instance.
type LivenessReport struct {
	Name        string
	Incarnation uint64
	Age         time.Duration
	Leaving     bool
}
