package gossiper

import "time"

// Members returns the names of the members that this instance passes to its dispatcher.
func (g *Gossiper) Members() []string {
	return g.describeFleet(time.Now()).Members
}
