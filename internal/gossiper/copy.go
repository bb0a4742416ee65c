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

// Reader reads a configuration as the platform keeps it.
type Reader interface {
	DecodeConfiguration(object storer.Object) (matcher.Configuration, error)
}

// Fetch returns what this instance knows from the platform.
func (s *service) Fetch(_ context.Context, wish *gossipwire.FetchRequest) (*gossipwire.FetchReply, error) {
	control := s.gossiper.control
	configuration, listed := control.DataAges()
	source, registry := control.Snapshot()
	reply := &gossipwire.FetchReply{}
	if wish.GetConfiguration() && configuration >= 0 {
		reply.Configuration, reply.Version, reply.AgeMs = source.Spec, source.Version, milliseconds(configuration)
	}
	if wish.GetEndpoints() && listed >= 0 {
		reply.Listed = true
		reply.EndpointsAgeMs = milliseconds(listed)
		for _, e := range registry.Endpoints {
			reply.Endpoints = append(reply.Endpoints, &gossipwire.Endpoint{
				Id: e.ID, Service: e.Service, Address: e.Address, DataCentre: e.DataCentre,
				Slots: uint32(max(0, e.Slots)), Draining: e.Draining, Born: e.StartedUnixMs,
			})
		}
	}

	return reply, nil
}

// fetch asks a peer for what it knows better.
func (g *Gossiper) fetch(ctx context.Context, address string, wants dispatcher.FetchPlan) {
	if wants == (dispatcher.FetchPlan{}) {
		return
	}
	sent := g.control.SinceBoot()
	wish := &gossipwire.FetchRequest{Configuration: wants.Configuration, Endpoints: wants.Endpoints}
	reply, err := gossipwire.NewGossipProtobufClient("http://"+address, g.client).Fetch(ctx, wish)
	if err != nil {
		g.meter.Add("gossip.missed", 1)

		return
	}
	if len(reply.GetConfiguration()) > 0 {
		g.learn(sent-time.Duration(reply.GetAgeMs())*time.Millisecond, reply)
	}
	if reply.GetListed() {
		g.control.ApplyListing(sent-time.Duration(reply.GetEndpointsAgeMs())*time.Millisecond, decodeEndpoints(reply.GetEndpoints()))
	}
}

// learn takes in a peer's configuration.
func (g *Gossiper) learn(at time.Duration, reply *gossipwire.FetchReply) {
	source := dispatcher.StoredConfiguration{Spec: reply.GetConfiguration(), Version: reply.GetVersion()}
	read, err := g.reader.DecodeConfiguration(storer.Object{Spec: source.Spec, Version: source.Version})
	if err != nil {
		g.logger.Warn("A peer's configuration cannot be read.", "error", err)

		return
	}
	g.control.ApplyConfiguration(at, matcher.New(read), source)
}

func decodeEndpoints(told []*gossipwire.Endpoint) []registrar.Endpoint {
	endpoints := make([]registrar.Endpoint, 0, len(told))
	for _, e := range told {
		endpoints = append(endpoints, registrar.Endpoint{
			ID: e.GetId(), Service: e.GetService(), Address: e.GetAddress(), DataCentre: e.GetDataCentre(),
			Slots: int(e.GetSlots()), Draining: e.GetDraining(), StartedUnixMs: e.GetBorn(),
		})
	}

	return endpoints
}
