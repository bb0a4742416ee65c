package gossiper

import (
	"time"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/internal/gossiper/gossipwire"
)

// Members returns the names of the members that this instance passes to its dispatcher.
func (g *Gossiper) Members() []string {
	return g.describeFleet(time.Now()).Members
}

// ReceivedLoads returns the loads and demands of a message as its receiver decodes them.
func ReceivedLoads(sent dispatcher.Message) dispatcher.Message {
	encoded := &gossipwire.Message{}
	addLoads(encoded, sent)

	return decodeMessage(encoded)
}
