package gossiper

import (
	"time"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/internal/gossiper/gossipwire"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/quarantiner"
)

// message is what this instance tells one that knows so many others; full messages
// tell loads.
func (g *Gossiper) message(known int, full bool) *gossipwire.Message {
	state := g.control.BuildMessage()
	addresses := g.Addresses()
	g.mu.Lock()
	leaving := g.leaving
	g.mu.Unlock()
	message := &gossipwire.Message{
		Name:        g.settings.Name,
		Address:     g.settings.Address,
		Incarnation: g.settings.Incarnation,
		Leaving:     leaving,
		Known:       uint32(len(addresses)),
		Brief:       !full,

		Number:         state.Versions.ConfigurationNumber,
		AgeMs:          milliseconds(state.Versions.ConfigurationAge),
		Digest:         state.Versions.EndpointsDigest,
		EndpointsAgeMs: milliseconds(state.Versions.EndpointsAge),
	}
	if known < len(addresses) {
		message.Members = addresses
	}
	if full {
		addLoads(message, state)
	}
	now := time.Now()
	for _, entry := range state.Suspects {
		message.Suspects = append(message.Suspects, encodeSuspect(now, entry))
	}

	return message
}

// addLoads adds what runs at endpoints, what they read and what arrives.
func addLoads(message *gossipwire.Message, state dispatcher.Message) {
	for id := range state.Prefills {
		if _, ok := state.Loads[id]; !ok {
			state.Loads[id] = placer.Load{}
		}
	}
	for id, load := range state.Loads {
		told := EncodeLoad(id, load)
		told.Reads = state.Prefills[id]
		message.Loads = append(message.Loads, told)
	}
	for name, demand := range state.Demands {
		message.Demands = append(message.Demands, &gossipwire.Demand{
			Service: name, Short: float32(demand.ShortPromptEngines), Long: float32(demand.LongPromptEngines),
			Border: uint32(max(0, demand.Split)), Engines: uint32(max(0, demand.EngineCount)),
		})
	}
}

// EncodeLoad spells what an instance has at an endpoint.
func EncodeLoad(endpoint string, load placer.Load) *gossipwire.Load {
	return &gossipwire.Load{
		Endpoint: endpoint, Running: uint32(max(0, load.RunningRequests)), Short: uint32(max(0, load.RunningShortPrompts)),
		Pending: uint32(max(0, load.PendingTokens)),
	}
}

// DecodeLoad reads what an instance has at an endpoint.
func DecodeLoad(load *gossipwire.Load) placer.Load {
	return placer.Load{RunningRequests: int(load.GetRunning()), RunningShortPrompts: int(load.GetShort()), PendingTokens: int(load.GetPending())}
}

func encodeSuspect(now time.Time, entry quarantiner.Entry) *gossipwire.Suspect {
	suspect := &gossipwire.Suspect{Fingerprint: entry.Fingerprint, Sure: entry.SoleCause}
	if !entry.LastClearedAt.IsZero() {
		suspect.ClearedAgeMs = max(1, milliseconds(now.Sub(entry.LastClearedAt)))
	}
	for _, crash := range entry.Crashes {
		suspect.Crashes = append(suspect.Crashes, &gossipwire.Crash{Endpoint: crash.EndpointID, AgeMs: milliseconds(now.Sub(crash.At))})
	}

	return suspect
}

func decodeSuspect(now time.Time, suspect *gossipwire.Suspect) quarantiner.Entry {
	entry := quarantiner.Entry{Fingerprint: suspect.GetFingerprint(), SoleCause: suspect.GetSure()}
	if age := suspect.GetClearedAgeMs(); age > 0 {
		entry.LastClearedAt = now.Add(-time.Duration(age) * time.Millisecond)
	}
	for _, crash := range suspect.GetCrashes() {
		entry.Crashes = append(entry.Crashes, quarantiner.Crash{
			EndpointID: crash.GetEndpoint(), At: now.Add(-time.Duration(crash.GetAgeMs()) * time.Millisecond),
		})
	}

	return entry
}

func milliseconds(age time.Duration) uint32 {
	return uint32(min(max(0, age.Milliseconds()), 1<<31))
}

func decodeMessage(message *gossipwire.Message) dispatcher.Message {
	decoded := dispatcher.Message{OmitsLoads: message.GetBrief(), Loads: map[string]placer.Load{}, Demands: map[string]placer.Demand{}, Prefills: map[string][]uint64{}}
	for _, load := range message.GetLoads() {
		decoded.Loads[load.GetEndpoint()] = DecodeLoad(load)
		decoded.Prefills[load.GetEndpoint()] = load.GetReads()
	}
	for _, demand := range message.GetDemands() {
		decoded.Demands[demand.GetService()] = placer.Demand{
			ShortPromptEngines: float64(demand.GetShort()), LongPromptEngines: float64(demand.GetLong()),
			Split: int(demand.GetBorder()), EngineCount: int(demand.GetEngines()),
		}
	}

	now := time.Now()
	for _, suspect := range message.GetSuspects() {
		decoded.Suspects = append(decoded.Suspects, decodeSuspect(now, suspect))
	}
	decoded.Versions = dispatcher.Versions{
		ConfigurationNumber: message.GetNumber(),
		ConfigurationAge:    time.Duration(message.GetAgeMs()) * time.Millisecond,
		EndpointsDigest:     message.GetDigest(),
		EndpointsAge:        time.Duration(message.GetEndpointsAgeMs()) * time.Millisecond,
	}

	return decoded
}
