package gossiper

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/oleanderpick/oleanderpick/internal/gossiper/gossipwire"
	"github.com/oleanderpick/oleanderpick/pkg/usagecounter"
)

// UsageReceiver uses what peers state of usage and of the time of day.
type UsageReceiver interface {
	// TimeOfDay returns this machine's time of day since the start of 1970.
	TimeOfDay() time.Duration
	// ReceiveTimeOfDay records the time of day that a peer stated in a message that has just arrived.
	ReceiveTimeOfDay(peer string, timeOfDay time.Duration)
	// ReceiveUsage records a peer's counts.
	ReceiveUsage(sender usagecounter.Sender, windows []usagecounter.WindowCounts)
}

// maxUsageBytes is the size from which the counts for a peer are sent in several datagrams. The
// fields beside the counts take less than the rest of a datagram.
const maxUsageBytes = 900

// SetUsage sets what uses the counts and times of peers. Without it, no message has any. Call
// SetUsage before Serve.
func (g *Gossiper) SetUsage(receiver UsageReceiver) {
	g.usage = receiver
}

// receiveUsage passes on what a message states of usage and the time of day.
func (g *Gossiper) receiveUsage(message *gossipwire.Message) {
	if g.usage == nil || message.GetName() == "" {
		return
	}
	if message.GetClockMs() > 0 {
		g.usage.ReceiveTimeOfDay(message.GetName(), time.Duration(message.GetClockMs())*time.Millisecond)
	}
	if len(message.GetUsage()) == 0 {
		return
	}
	windows := make([]usagecounter.WindowCounts, 0, len(message.GetUsage()))
	for _, window := range message.GetUsage() {
		counts := make(map[string]uint64, len(window.GetCounts()))
		for _, count := range window.GetCounts() {
			counts[count.GetWorkspace()] = uint64(count.GetRequests())
		}
		windows = append(windows, usagecounter.WindowCounts{Window: window.GetWindow(), Counts: counts})
	}
	g.usage.ReceiveUsage(usagecounter.Sender{Name: message.GetName(), Incarnation: message.GetIncarnation()}, windows)
}

// SendUsage sends this instance's counts to the named peer: in datagrams, or in a call if the peer
// does not answer these. It reports whether they were sent.
func (g *Gossiper) SendUsage(ctx context.Context, name string, windows []usagecounter.WindowCounts) bool {
	g.mu.Lock()
	address, takesDatagrams, newestAt := "", false, time.Time{}
	for _, p := range g.peers {
		if p.name == name && p.lastMessageAt.After(newestAt) {
			address, takesDatagrams, newestAt = p.address, p.answersAsked && g.datagrams != nil, p.lastMessageAt
		}
	}
	g.mu.Unlock()
	if address == "" {
		return false
	}
	if !takesDatagrams {
		return g.callWithUsage(ctx, address, encodeUsage(windows))
	}
	isSent := true
	for _, part := range splitUsage(encodeUsage(windows)) {
		message := &gossipwire.Message{Name: g.settings.Name, Incarnation: g.settings.Incarnation, ClockMs: g.usage.TimeOfDay().Milliseconds(), Usage: part}
		isSent = g.datagrams.SendMessage(address, message) && isSent
	}

	return isSent
}

// callWithUsage sends counts in a call.
func (g *Gossiper) callWithUsage(ctx context.Context, address string, windows []*gossipwire.UsageWindow) bool {
	ctx, cancel := context.WithTimeout(ctx, g.settings.ExchangeTimeout)
	defer cancel()
	message := g.buildMessage(address, allKnown, false)
	message.Usage = windows
	_, err := gossipwire.NewGossipProtobufClient("http://"+address, g.client).Exchange(ctx, message)

	return err == nil
}

// encodeUsage returns the wire form of counts.
func encodeUsage(windows []usagecounter.WindowCounts) []*gossipwire.UsageWindow {
	encoded := make([]*gossipwire.UsageWindow, 0, len(windows))
	for _, window := range windows {
		part := &gossipwire.UsageWindow{Window: window.Window}
		for workspace, requests := range window.Counts {
			part.Counts = append(part.Counts, &gossipwire.UsageCount{Workspace: workspace, Requests: uint32(requests)}) //nolint:gosec // Requests of one instance in one window.
		}
		encoded = append(encoded, part)
	}

	return encoded
}

// splitUsage splits counts into parts that fit in a datagram each. The newest window comes last:
// it tells the recipient that the others are whole.
func splitUsage(windows []*gossipwire.UsageWindow) (parts [][]*gossipwire.UsageWindow) {
	var part []*gossipwire.UsageWindow
	size := 0
	for _, window := range windows {
		var last *gossipwire.UsageWindow
		add := func(count *gossipwire.UsageCount, countSize int) {
			if size+countSize > maxUsageBytes && size > 0 {
				parts, part, size, last = append(parts, part), nil, 0, nil
			}
			if last == nil {
				last = &gossipwire.UsageWindow{Window: window.GetWindow()}
				part = append(part, last)
			}
			if count != nil {
				last.Counts = append(last.Counts, count)
			}
			size += countSize
		}
		const windowBytes, countBytes = 16, 4 // Tags, lengths and the number of the window.
		add(nil, windowBytes)
		for _, count := range window.GetCounts() {
			add(count, proto.Size(count)+countBytes)
		}
	}
	if len(part) > 0 {
		parts = append(parts, part)
	}

	return parts
}
