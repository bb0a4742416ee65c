package gossiper

import (
	"time"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/internal/gossiper/gossipwire"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// word is what this instance tells one that knows so many others.
func (g *Gossiper) word(known int) *gossipwire.Word {
	state := g.control.Tells()
	addresses := g.addresses()
	g.mu.Lock()
	leaving := g.leaving
	g.mu.Unlock()
	word := &gossipwire.Word{
		Name:        g.settings.Name,
		Address:     g.settings.Address,
		Incarnation: g.settings.Incarnation,
		Leaving:     leaving,
		Known:       uint32(len(addresses)),

		Number:         state.Vouch.Number,
		AgeMs:          milliseconds(state.Vouch.Age),
		Digest:         state.Vouch.Digest,
		EndpointsAgeMs: milliseconds(state.Vouch.EndpointsAge),
	}
	if known < len(addresses) {
		word.Members = addresses
	}
	for id := range state.Reads {
		if _, ok := state.Loads[id]; !ok {
			state.Loads[id] = placer.Load{}
		}
	}
	for id, load := range state.Loads {
		word.Loads = append(word.Loads, &gossipwire.Load{
			Endpoint: id, Running: uint32(max(0, load.Running)), Short: uint32(max(0, load.Short)),
			Pending: uint32(max(0, load.Pending)), Reads: state.Reads[id],
		})
	}
	for name, demand := range state.Demands {
		word.Demands = append(word.Demands, &gossipwire.Demand{
			Service: name, Short: float32(demand.Short), Long: float32(demand.Long),
			Border: uint32(max(0, demand.Border)), Engines: uint32(max(0, demand.Engines)),
		})
	}

	return word
}

func milliseconds(age time.Duration) uint32 {
	return uint32(min(max(0, age.Milliseconds()), 1<<31))
}

func decodeWord(word *gossipwire.Word) dispatcher.Word {
	decoded := dispatcher.Word{Loads: map[string]placer.Load{}, Demands: map[string]placer.Demand{}, Reads: map[string][]uint64{}}
	for _, load := range word.GetLoads() {
		decoded.Loads[load.GetEndpoint()] = placer.Load{
			Running: int(load.GetRunning()), Short: int(load.GetShort()), Pending: int(load.GetPending()),
		}
		decoded.Reads[load.GetEndpoint()] = load.GetReads()
	}
	for _, demand := range word.GetDemands() {
		decoded.Demands[demand.GetService()] = placer.Demand{
			Short: float64(demand.GetShort()), Long: float64(demand.GetLong()),
			Border: int(demand.GetBorder()), Engines: int(demand.GetEngines()),
		}
	}

	decoded.Vouch = dispatcher.Vouch{
		Number:       word.GetNumber(),
		Age:          time.Duration(word.GetAgeMs()) * time.Millisecond,
		Digest:       word.GetDigest(),
		EndpointsAge: time.Duration(word.GetEndpointsAgeMs()) * time.Millisecond,
	}

	return decoded
}
