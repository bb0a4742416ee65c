package controller

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/granter"
	"github.com/oleanderpick/oleanderpick/pkg/tracker"
)

// ApplyInstanceList takes in the platform's instance list.
func (c *Controller) ApplyInstanceList(instances []tracker.Instance) {
	c.send(func(now time.Time) {
		c.tracker.ApplyListing(now, instances)
	})
}

// Peers returns the members other than this instance.
func (c *Controller) Peers() []tracker.Member {
	var peers []tracker.Member
	c.query(func(time.Time) {
		for _, member := range c.tracker.Members() {
			if member.Name != c.settings.Self.Name {
				peers = append(peers, member)
			}
		}
	})

	return peers
}

// IsResponsibleFor reports whether this instance is the one among the live members that
// does a task for all of them. Lists that differ may choose two, or none.
func (c *Controller) IsResponsibleFor(task string) bool {
	chosen := false
	c.query(func(time.Time) {
		chosen = granter.HomeOf(task, c.members) == c.settings.Self.Name
	})

	return chosen
}

// join shares the endpoints anew when the live members have changed.
func (c *Controller) join(now time.Time) {
	if c.tracker.Version() == c.version {
		return
	}
	c.version = c.tracker.Version()
	c.members = c.tracker.LiveNames()

	dataCentres := map[string]string{}
	for _, member := range c.tracker.Members() {
		dataCentres[member.Name] = member.DataCentre
	}
	c.home.SetDataCentres(dataCentres)
	c.borrower.SetDataCentres(dataCentres)
	c.share(now)
	c.logger.Info("Members changed.", "live", len(c.members))
}
