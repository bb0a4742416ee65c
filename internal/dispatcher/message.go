package dispatcher

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/isolator"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/quarantiner"
	"github.com/oleanderpick/oleanderpick/pkg/sharer"
)

// Message is the state that an instance sends to a peer.
type Message struct {
	// OmitsLoads reports whether the message has no Loads, Prefills and Demands.
	OmitsLoads bool
	// DataCentre is the sender's. If IsSummary is set, Loads are those of all
	// instances there.
	DataCentre string
	IsSummary  bool
	// Loads are the loads at endpoints, by endpoint ID.
	Loads map[string]placer.Load
	// Prefills are the IDs of the shared prompt blocks that engines recently prefilled
	// for the sender or, if IsSummary is set, for all instances there, by endpoint ID.
	Prefills map[string][]uint64
	// Demands are the demands that arrive at the sender, by service name.
	Demands map[string]placer.Demand
	// Claims are what competes for capacity that is short. Claims of BuildMessage's messages are returned
	// by Dispatcher.Claims.
	Claims []sharer.Claim
	// Suspects are the requests that may have crashed endpoints.
	Suspects []quarantiner.Entry
	// Blocks are the prompt blocks that were present when endpoints crashed.
	Blocks []isolator.Record
	// Rejections are the recent ones by brittle endpoints.
	Rejections []Rejection
	// Versions are those of the sender's configuration and endpoints.
	Versions Versions
}

// Versions says which configuration and which listing of the endpoints an instance has,
// and how long ago the reads that last confirmed them were sent.
type Versions struct {
	// ConfigurationNumber is the configuration's number; 0 if the instance has none.
	ConfigurationNumber uint64
	ConfigurationAge    time.Duration
	// EndpointsDigest is the digest of the listing; 0 if the instance has none.
	EndpointsDigest uint64
	EndpointsAge    time.Duration
	// EndpointsEpoch is the epoch of the store in which the listing was read.
	EndpointsEpoch uint64
}

// FetchPlan says which data to fetch from a peer, because the peer has a newer or different
// version of it.
type FetchPlan struct {
	Configuration, Endpoints bool
}

// SinceBoot returns the time since the machine started, including the time during which it
// was suspended. The ages of data are measured by this clock.
func (d *Dispatcher) SinceBoot() time.Duration {
	return d.clock.SinceBoot()
}

// LoadScope says whose loads a message has.
type LoadScope int

// The scopes of the loads in a message.
const (
	// NoLoads is the scope of a message without loads, prefills and demands.
	NoLoads LoadScope = iota
	// OwnLoads are this instance's.
	OwnLoads
	// DataCentreLoads are those of all instances of the data centre. Prefills are theirs too, but
	// only new ones.
	DataCentreLoads
)

const (
	// crashNewsAge is the age of news of suspects and blocks up to which all messages have it. It
	// is several times what news takes to spread in a fleet.
	crashNewsAge = 3 * time.Second
	// crashRecordInterval is the number of messages of which one has some older news too, for
	// instances that were cut off or have just started, and maxOldCrashRecords how many records of
	// suspects and of blocks that are. So such a message still fits in a datagram.
	crashRecordInterval = 8
	maxOldCrashRecords  = 4
)

// BuildMessage returns the message to send to peers, with the loads of the given scope.
func (d *Dispatcher) BuildMessage(scope LoadScope) (message Message) {
	d.withState(func() {
		now := d.clock.Now()
		message.DataCentre, message.IsSummary, message.OmitsLoads = d.dataCentre, scope == DataCentreLoads, scope == NoLoads
		if scope != NoLoads {
			d.addLoads(now, &message)
		}
		d.messageCount++
		message.Suspects = d.suspectsToShare(now)
		message.Blocks = d.blocksToShare(now)
		message.Rejections = d.recentRejections(now)
		configurationAge, endpointsAge := d.dataAges()
		if configurationAge >= 0 {
			message.Versions.ConfigurationNumber, message.Versions.ConfigurationAge = d.currentMatcher.Load().Number(), configurationAge
		}
		if endpointsAge >= 0 {
			message.Versions.EndpointsDigest, message.Versions.EndpointsAge = d.listingDigest, endpointsAge
			message.Versions.EndpointsEpoch = d.listingEpoch
		}
	})

	return message
}

// addLoads adds loads, prefills and demands to a message.
func (d *Dispatcher) addLoads(now time.Time, message *Message) {
	if message.IsSummary {
		message.Loads, message.Prefills = d.placer.DataCentreLoads(), d.placer.DataCentrePrefills(now)
	} else {
		message.Loads, message.Prefills = d.placer.LocalLoads(), d.placer.LocalPrefills(now)
	}
	message.Demands = d.placer.LocalDemands(now)
	if message.IsSummary {
		d.placer.AddTotals(now, message.Demands)
	}
}

// ReceiveMessage records a peer's loads, prefills, demands, suspects and blocks. It does not use the
// message's versions: pass those to ReceiveVersions.
func (d *Dispatcher) ReceiveMessage(peer string, message Message) {
	d.withState(func() {
		switch {
		case message.OmitsLoads:
		case !message.IsSummary:
			d.placer.ReceiveLoads(d.clock.Now(), peer, message.Loads, message.Demands)
			d.placer.SetPeerDataCentre(peer, message.DataCentre)
		case message.DataCentre != d.dataCentre:
			d.placer.ReceiveDataCentreLoads(d.clock.Now(), message.DataCentre, message.Loads, message.Demands)
		}
		d.placer.ReceivePrefills(d.clock.Now(), message.Prefills, message.DataCentre == d.dataCentre)
		d.receiveClaims(d.clock.Now(), peer, message)
		d.mergeSuspects(d.clock.Now(), message.Suspects)
		d.mergeBlocks(d.clock.Now(), message.Blocks)
		d.recordRejections(message.Rejections)
	})
}

// ReceiveLoadUpdate replaces a peer's load at one endpoint.
func (d *Dispatcher) ReceiveLoadUpdate(peer, endpoint string, load placer.Load) {
	d.withState(func() { d.placer.ReceiveLoadUpdate(peer, endpoint, load) })
}

// ReceiveVersions compares a peer's versions with the local ones. A listing of a later
// epoch of the store is newer than one of an earlier epoch. Equal versions confirm the
// local data; the result says which data to fetch. The versions came in a reply to a
// message that was sent at the given time since boot. The peer's reads were sent no
// earlier than that time less their age, so the data counts from then and never seems
// younger than it is.
func (d *Dispatcher) ReceiveVersions(sentAt time.Duration, versions Versions) (plan FetchPlan) {
	d.withState(func() {
		current := d.currentMatcher.Load()
		switch {
		case versions.ConfigurationNumber == 0:
		case current == nil || versions.ConfigurationNumber > current.Number():
			plan.Configuration = true
		case versions.ConfigurationNumber == current.Number():
			d.confirmLease(sentAt - versions.ConfigurationAge)
		}
		readAt := sentAt - versions.EndpointsAge
		switch {
		case versions.EndpointsDigest == 0 || versions.EndpointsEpoch < d.listingEpoch:
		case versions.EndpointsEpoch > d.listingEpoch:
			plan.Endpoints = true
		case d.registry.HasListing() && readAt <= d.listingReadAt:
		case d.registry.HasListing() && versions.EndpointsDigest == d.listingDigest && !d.hasDepartures:
			d.listingReadAt = readAt
			d.recordReachable(d.clock.Now(), readAt)
		default:
			plan.Endpoints = true
		}
	})

	return plan
}

// sharesOldNews reports whether the message that is built has older news of crashes too.
func (d *Dispatcher) sharesOldNews() bool {
	return d.messageCount%crashRecordInterval == 0
}

// addOldNews appends some of all records to those that are news: others in each message.
func addOldNews[R any](news, all []R, messageCount int) []R {
	if len(all) == 0 {
		return news
	}
	first := messageCount / crashRecordInterval * maxOldCrashRecords
	for n := range min(maxOldCrashRecords, len(all)) {
		news = append(news, all[(first+n)%len(all)])
	}

	return news
}
