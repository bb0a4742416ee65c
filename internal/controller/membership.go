package controller

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/granter"
	"github.com/oleanderpick/oleanderpick/pkg/tracker"
)

// ApplyInstanceList applies the instance list that was read from the platform.
func (c *Controller) ApplyInstanceList(instances []tracker.Instance) {
	c.sendEvent(func(now time.Time) {
		c.tracker.ApplyListing(now, instances)
	})
}

// Peers returns all members other than this instance, including those that are
// leaving or suspect.
func (c *Controller) Peers() []tracker.Member {
	var peers []tracker.Member
	c.runAndWait(func(time.Time) {
		for _, member := range c.tracker.Members() {
			if member.Name != c.settings.Self.Name {
				peers = append(peers, member)
			}
		}
	})

	return peers
}

// IsResponsibleFor reports whether this instance is the one live member that does the named
// task for all of them. While member lists differ, two instances may be responsible,
// or none.
func (c *Controller) IsResponsibleFor(task string) bool {
	isResponsible := false
	c.runAndWait(func(time.Time) {
		isResponsible = granter.HomeOf(task, c.liveMembers) == c.settings.Self.Name
	})

	return isResponsible
}

// applyMemberChanges shares the endpoints' capacity among the new members if the
// members have changed.
func (c *Controller) applyMemberChanges(now time.Time) {
	if c.tracker.Version() == c.memberListVersion {
		return
	}
	c.memberListVersion = c.tracker.Version()
	c.liveMembers = c.tracker.LiveNames()

	dataCentres := map[string]string{}
	for _, member := range c.tracker.Members() {
		dataCentres[member.Name] = member.DataCentre
	}
	c.home.SetDataCentres(dataCentres)
	c.borrower.SetDataCentres(dataCentres)
	c.updateCapacitySharing(now)
	c.logger.Info("Members changed.", "live", len(c.liveMembers))
}
