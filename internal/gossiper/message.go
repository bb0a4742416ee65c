package gossiper

import (
	"math"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/blockencoder"
	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/internal/gossiper/gossipwire"
	"github.com/oleanderpick/oleanderpick/pkg/pacer"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/quarantiner"
)

// buildRequest returns the message that begins an exchange.
func (g *Gossiper) buildRequest(p *peer) *gossipwire.Message {
	message := g.buildMessage(p.address, allKnown, p.sharesEngines)
	message.WantsLoads = p.carriesLoads

	return message
}

// buildReply returns the message that answers one. It holds loads if that one does or asks for
// them.
func (g *Gossiper) buildReply(message *gossipwire.Message) *gossipwire.Message {
	reply := g.buildMessage(message.GetAddress(), int(message.GetKnown()), !message.GetBrief() || message.GetWantsLoads())
	reply.Limits = encodeLimits(time.Now(), g.dispatcher.Limits())
	reply.Brittle = encodeLimits(time.Now(), g.dispatcher.BrittleServices())

	return reply
}

// allKnown is the number of addresses known to the recipient of a message that lists none.
const allKnown = maxPeers

// buildMessage returns this instance's message to the peer at an address that knows the
// given number of live addresses. It lists the live peers' addresses if the recipient
// knows far fewer, some of them if it knows fewer, and loads if includeLoads is set: this instance's, or those of its data
// centre if the recipient does not share its engines.
func (g *Gossiper) buildMessage(recipient string, recipientAddressCount int, includeLoads bool) *gossipwire.Message {
	now := time.Now()
	g.mu.Lock()
	leaving, known := g.leaving, g.viewAt(now)
	p := g.peers[recipient]
	sharesEngines := known.fleet.SharesEngines(p != nil && p.isLocal)
	g.mu.Unlock()
	scope := dispatcher.NoLoads
	switch {
	case !includeLoads:
	case sharesEngines:
		scope = dispatcher.OwnLoads
	default:
		scope = dispatcher.DataCentreLoads
	}
	state := g.dispatcher.BuildMessage(scope)
	message := &gossipwire.Message{
		Name:        g.settings.Name,
		Address:     g.settings.Address,
		Incarnation: g.settings.Incarnation,
		Leaving:     leaving,
		CutOff:      g.dispatcher.CutOffFrom(),
		Known:       uint32(len(known.live)),
		Brief:       !includeLoads,
		DataCentre:  g.settings.DataCentre,
		Summary:     !sharesEngines,
		Heard:       known.heard,
		Datagrams:   g.datagrams != nil,

		Number:         state.Versions.ConfigurationNumber,
		AgeMs:          toMilliseconds(state.Versions.ConfigurationAge),
		Digest:         state.Versions.EndpointsDigest,
		EndpointsAgeMs: toMilliseconds(state.Versions.EndpointsAge),
		EndpointsEpoch: state.Versions.EndpointsEpoch,
	}
	if g.usage != nil {
		message.ClockMs = g.usage.TimeOfDay().Milliseconds()
	}
	message.Members = missingMembers(recipientAddressCount, known.live)
	if includeLoads {
		addLoads(message, state)
		g.addClaims(now, message)
	}
	addFailures(now, message, state)

	return message
}

// addFailures adds what is known of requests and blocks that crash endpoints, and of rejections.
func addFailures(now time.Time, message *gossipwire.Message, state dispatcher.Message) {
	for _, entry := range state.Suspects {
		message.Suspects = append(message.Suspects, encodeSuspect(now, entry))
	}
	message.Blocks = blockencoder.Encode(now, state.Blocks)
	for _, rejection := range state.Rejections {
		message.Rejections = append(message.Rejections, &gossipwire.Rejection{Endpoint: rejection.EndpointID, AgeMs: toMilliseconds(now.Sub(rejection.At))})
	}
}

// addLoads adds the loads at endpoints, the prompt blocks that the endpoints prefilled
// for this instance, and the demand that arrives at it, by service.
func addLoads(message *gossipwire.Message, state dispatcher.Message) {
	for id := range state.Prefills {
		if _, ok := state.Loads[id]; !ok {
			state.Loads[id] = placer.Load{}
		}
	}
	for id, load := range state.Loads {
		encoded := EncodeLoad(id, load)
		encoded.Reads = state.Prefills[id]
		message.Loads = append(message.Loads, encoded)
	}
	for service, demand := range state.Demands {
		message.Demands = append(message.Demands, &gossipwire.Demand{
			Service: service, Short: float32(demand.ShortPromptEngines), Long: float32(demand.LongPromptEngines),
			Border: uint32(max(0, demand.Split)), Engines: uint32(max(0, demand.EngineCount)),
			TotalShort: float32(demand.TotalShort), TotalLong: float32(demand.TotalLong),
		})
	}
}

// EncodeLoad returns the wire form of an instance's load at an endpoint. Negative
// counts become zero. A pace that says nothing any more is left out.
func EncodeLoad(endpoint string, load placer.Load) *gossipwire.Load {
	encoded := &gossipwire.Load{
		Endpoint: endpoint, Running: uint32(max(0, load.RunningRequests)), Short: uint32(max(0, load.RunningShortPrompts)),
		Pending: uint32(max(0, load.PendingTokens)), Lower: encodeLowerTiers(load.LowerTiers[:]),
		PendingLower: encodeLowerTiers(load.LowerPending[:]),
	}
	if age := time.Since(load.PaceStatedAt); load.Pace > 0 && age < pacer.MaxStatementAge {
		encoded.Pace, encoded.PaceAgeMs = uint32(load.Pace), toMilliseconds(age)
	}

	return encoded
}

// encodeLowerTiers returns the wire form of the numbers of requests or tokens in the lower tiers,
// without zeros at the end.
func encodeLowerTiers[N int16 | int32](counts []N) []uint32 {
	var encoded []uint32
	for i, count := range counts {
		if count > 0 {
			encoded = append(encoded, make([]uint32, i+1-len(encoded))...)
			encoded[i] = uint32(count)
		}
	}

	return encoded
}

// DecodeLoad returns an instance's load at an endpoint from its wire form.
func DecodeLoad(load *gossipwire.Load) placer.Load {
	decoded := placer.Load{RunningRequests: int(load.GetRunning()), RunningShortPrompts: int(load.GetShort()), PendingTokens: int(load.GetPending())}
	for i, count := range load.GetLower() {
		if i < len(decoded.LowerTiers) {
			decoded.LowerTiers[i] = int16(min(count, math.MaxInt16))
		}
	}
	for i, tokens := range load.GetPendingLower() {
		if i < len(decoded.LowerPending) {
			decoded.LowerPending[i] = int32(min(tokens, math.MaxInt32))
		}
	}
	if load.GetPace() > 0 {
		decoded.Pace, decoded.PaceStatedAt = int(load.GetPace()), time.Now().Add(-time.Duration(load.GetPaceAgeMs())*time.Millisecond)
	}

	return decoded
}

// encodeSuspect returns the wire form of a quarantine entry, with times as ages.
func encodeSuspect(now time.Time, entry quarantiner.Entry) *gossipwire.Suspect {
	suspect := &gossipwire.Suspect{
		Fingerprint: entry.Fingerprint, Sure: entry.SoleCause, ClearedAgeMs: blockencoder.EncodeAge(now, entry.LastClearedAt),
	}
	for _, crash := range entry.Crashes {
		suspect.Crashes = append(suspect.Crashes, &gossipwire.Crash{Endpoint: crash.EndpointID, AgeMs: toMilliseconds(now.Sub(crash.At))})
	}

	return suspect
}

// decodeSuspect returns a quarantine entry from its wire form. Ages count back from
// now, the time of receipt by this instance's clock.
func decodeSuspect(now time.Time, suspect *gossipwire.Suspect) quarantiner.Entry {
	entry := quarantiner.Entry{
		Fingerprint: suspect.GetFingerprint(), SoleCause: suspect.GetSure(), LastClearedAt: blockencoder.DecodeAge(now, suspect.GetClearedAgeMs()),
	}
	for _, crash := range suspect.GetCrashes() {
		entry.Crashes = append(entry.Crashes, quarantiner.Crash{
			EndpointID: crash.GetEndpoint(), At: now.Add(-time.Duration(crash.GetAgeMs()) * time.Millisecond),
		})
	}

	return entry
}

// DecodeRejections returns rejections from their wire form. Ages count back from now.
func DecodeRejections(now time.Time, encoded []*gossipwire.Rejection) []dispatcher.Rejection {
	rejections := make([]dispatcher.Rejection, 0, len(encoded))
	for _, rejection := range encoded {
		rejections = append(rejections, dispatcher.Rejection{
			EndpointID: rejection.GetEndpoint(), At: now.Add(-time.Duration(rejection.GetAgeMs()) * time.Millisecond),
		})
	}

	return rejections
}

// toMilliseconds returns an age in milliseconds, limited to the range from 0 to 2^31.
func toMilliseconds(age time.Duration) uint32 {
	return uint32(min(max(0, age.Milliseconds()), 1<<31))
}

// decodeMessage returns the dispatcher's part of a peer's message.
func decodeMessage(message *gossipwire.Message) dispatcher.Message {
	decoded := dispatcher.Message{
		OmitsLoads: message.GetBrief(), DataCentre: message.GetDataCentre(), IsSummary: message.GetSummary(),
		Loads: map[string]placer.Load{}, Demands: map[string]placer.Demand{}, Prefills: map[string][]uint64{},
	}
	for _, load := range message.GetLoads() {
		decoded.Loads[load.GetEndpoint()] = DecodeLoad(load)
		decoded.Prefills[load.GetEndpoint()] = load.GetReads()
	}
	for _, demand := range message.GetDemands() {
		decoded.Demands[demand.GetService()] = placer.Demand{
			ShortPromptEngines: float64(demand.GetShort()), LongPromptEngines: float64(demand.GetLong()),
			Split: int(demand.GetBorder()), EngineCount: int(demand.GetEngines()),
			TotalShort: float64(demand.GetTotalShort()), TotalLong: float64(demand.GetTotalLong()),
		}
	}

	now := time.Now()
	for _, suspect := range message.GetSuspects() {
		decoded.Suspects = append(decoded.Suspects, decodeSuspect(now, suspect))
	}
	decoded.Blocks = blockencoder.Decode(now, message.GetBlocks())
	decoded.Claims = decodeClaims(message.GetClaims())
	decoded.Rejections = DecodeRejections(now, message.GetRejections())

	return decoded
}

// decodeVersions returns the versions of a peer's message.
func decodeVersions(message *gossipwire.Message) dispatcher.Versions {
	return dispatcher.Versions{
		ConfigurationNumber: message.GetNumber(),
		ConfigurationAge:    time.Duration(message.GetAgeMs()) * time.Millisecond,
		EndpointsDigest:     message.GetDigest(),
		EndpointsAge:        time.Duration(message.GetEndpointsAgeMs()) * time.Millisecond,
		EndpointsEpoch:      message.GetEndpointsEpoch(),
	}
}
