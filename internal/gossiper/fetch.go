package gossiper

import (
	"context"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/internal/gossiper/gossipwire"
	"github.com/oleanderpick/oleanderpick/internal/storer"
	"github.com/oleanderpick/oleanderpick/pkg/matcher"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// ConfigurationDecoder decodes a configuration from the object that the platform stores.
type ConfigurationDecoder interface {
	DecodeConfiguration(object storer.Object) (matcher.Configuration, error)
}

// Fetch returns the requested ones of the configuration and the endpoint registry,
// as this instance knows them, with the time since they were last confirmed.
func (s *gossipServer) Fetch(_ context.Context, request *gossipwire.FetchRequest) (*gossipwire.FetchReply, error) {
	dispatcher := s.gossiper.dispatcher
	configurationAge, endpointsAge := dispatcher.DataAges()
	stored, registry := dispatcher.Snapshot()
	reply := &gossipwire.FetchReply{}
	if request.GetConfiguration() && configurationAge >= 0 {
		reply.Configuration, reply.Version, reply.AgeMs = stored.Spec, stored.Version, toMilliseconds(configurationAge)
	}
	if request.GetEndpoints() && endpointsAge >= 0 {
		reply.Listed = true
		reply.EndpointsAgeMs = toMilliseconds(endpointsAge)
		reply.EndpointsEpoch = registry.Epoch
		for _, e := range registry.Endpoints {
			reply.Endpoints = append(reply.Endpoints, &gossipwire.Endpoint{
				Id: e.ID, Service: e.Service, Address: e.Address, DataCentre: e.DataCentre,
				Slots: uint32(max(0, e.Slots)), Draining: e.Draining, Born: e.StartedUnixMs, Software: e.Version,
				Spot: e.Spot, LeavesMs: toMilliseconds(e.LeavesIn),
			})
		}
	}

	return reply, nil
}

// fetchFromPeer requests the configuration and the endpoint registry from a peer,
// as far as the plan says, and passes them to the dispatcher. The age of what the
// peer sends counts from the moment the request was sent.
func (g *Gossiper) fetchFromPeer(ctx context.Context, address string, plan dispatcher.FetchPlan) {
	if plan == (dispatcher.FetchPlan{}) {
		return
	}
	sentAt := g.dispatcher.SinceBoot()
	request := &gossipwire.FetchRequest{Configuration: plan.Configuration, Endpoints: plan.Endpoints}
	reply, err := gossipwire.NewGossipProtobufClient("http://"+address, g.client).Fetch(ctx, request)
	if err != nil {
		g.meter.Add("gossip.missed", 1)

		return
	}
	if len(reply.GetConfiguration()) > 0 {
		g.applyConfiguration(sentAt-time.Duration(reply.GetAgeMs())*time.Millisecond, reply)
	}
	if reply.GetListed() {
		g.dispatcher.ApplyListing(sentAt-time.Duration(reply.GetEndpointsAgeMs())*time.Millisecond, reply.GetEndpointsEpoch(), decodeEndpoints(reply.GetEndpoints()))
	}
}

// applyConfiguration decodes a peer's configuration and passes it to the
// dispatcher. Its last confirming read was sent at confirmedAt, a reading of the
// clock that also counts suspended time.
func (g *Gossiper) applyConfiguration(confirmedAt time.Duration, reply *gossipwire.FetchReply) {
	stored := dispatcher.StoredConfiguration{Spec: reply.GetConfiguration(), Version: reply.GetVersion()}
	configuration, err := g.decoder.DecodeConfiguration(storer.Object{Spec: stored.Spec, Version: stored.Version})
	if err != nil {
		g.logger.Warn("A peer's configuration cannot be read.", "error", err)

		return
	}
	g.dispatcher.ApplyConfiguration(confirmedAt, matcher.New(configuration), stored)
}

// decodeEndpoints returns the endpoints of a peer's reply.
func decodeEndpoints(encoded []*gossipwire.Endpoint) []registrar.Endpoint {
	endpoints := make([]registrar.Endpoint, 0, len(encoded))
	for _, e := range encoded {
		endpoints = append(endpoints, registrar.Endpoint{
			ID: e.GetId(), Service: e.GetService(), Address: e.GetAddress(), DataCentre: e.GetDataCentre(),
			Slots: int(e.GetSlots()), Draining: e.GetDraining(), StartedUnixMs: e.GetBorn(), Version: e.GetSoftware(),
			Spot: e.GetSpot(), LeavesIn: time.Duration(e.GetLeavesMs()) * time.Millisecond,
		})
	}

	return endpoints
}
