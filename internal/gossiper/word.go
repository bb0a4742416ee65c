package gossiper

import (
	"time"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/internal/gossiper/gossipwire"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/quarantiner"
)

// word is what this instance tells one that knows so many others; full words
// tell loads.
func (g *Gossiper) word(known int, full bool) *gossipwire.Word {
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
		Brief:       !full,

		Number:         state.Vouch.Number,
		AgeMs:          milliseconds(state.Vouch.Age),
		Digest:         state.Vouch.Digest,
		EndpointsAgeMs: milliseconds(state.Vouch.EndpointsAge),
	}
	if known < len(addresses) {
		word.Members = addresses
	}
	if full {
		addLoads(word, state)
	}
	now := time.Now()
	for _, entry := range state.Suspects {
		word.Suspects = append(word.Suspects, encodeSuspect(now, entry))
	}

	return word
}

// addLoads adds what runs at endpoints, what they read and what arrives.
func addLoads(word *gossipwire.Word, state dispatcher.Word) {
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
}

func encodeSuspect(now time.Time, entry quarantiner.Entry) *gossipwire.Suspect {
	suspect := &gossipwire.Suspect{Fingerprint: entry.Fingerprint, Sure: entry.Sure}
	if !entry.Cleared.IsZero() {
		suspect.ClearedAgeMs = max(1, milliseconds(now.Sub(entry.Cleared)))
	}
	for _, crash := range entry.Crashes {
		suspect.Crashes = append(suspect.Crashes, &gossipwire.Crash{Endpoint: crash.Name, AgeMs: milliseconds(now.Sub(crash.At))})
	}

	return suspect
}

func decodeSuspect(now time.Time, suspect *gossipwire.Suspect) quarantiner.Entry {
	entry := quarantiner.Entry{Fingerprint: suspect.GetFingerprint(), Sure: suspect.GetSure()}
	if age := suspect.GetClearedAgeMs(); age > 0 {
		entry.Cleared = now.Add(-time.Duration(age) * time.Millisecond)
	}
	for _, crash := range suspect.GetCrashes() {
		entry.Crashes = append(entry.Crashes, quarantiner.Crash{
			Name: crash.GetEndpoint(), At: now.Add(-time.Duration(crash.GetAgeMs()) * time.Millisecond),
		})
	}

	return entry
}

func milliseconds(age time.Duration) uint32 {
	return uint32(min(max(0, age.Milliseconds()), 1<<31))
}

func decodeWord(word *gossipwire.Word) dispatcher.Word {
	decoded := dispatcher.Word{Brief: word.GetBrief(), Loads: map[string]placer.Load{}, Demands: map[string]placer.Demand{}, Reads: map[string][]uint64{}}
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

	now := time.Now()
	for _, suspect := range word.GetSuspects() {
		decoded.Suspects = append(decoded.Suspects, decodeSuspect(now, suspect))
	}
	decoded.Vouch = dispatcher.Vouch{
		Number:       word.GetNumber(),
		Age:          time.Duration(word.GetAgeMs()) * time.Millisecond,
		Digest:       word.GetDigest(),
		EndpointsAge: time.Duration(word.GetEndpointsAgeMs()) * time.Millisecond,
	}

	return decoded
}
