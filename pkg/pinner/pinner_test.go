package pinner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/pinner"
)

var start = time.Unix(1e9, 0)

func pin(version string) pinner.Pin {
	return pinner.Pin{StreamID: pinner.StreamID("clinic", "r1"), Service: "s", Version: version, ExpiresAt: start.Add(10 * time.Second)}
}

func TestPinIsFoundUntilItExpiresOrIsContradicted(t *testing.T) {
	p := pinner.New("i0")
	assert.Assert(t, p.Record(start, pin("v1")))
	assert.Assert(t, !p.Record(start, pin("v1")))
	found, ok := p.Find(start.Add(9*time.Second), pin("").StreamID)
	assert.Assert(t, ok)
	assert.DeepEqual(t, found, pin("v1"))
	_, ok = p.Find(start.Add(10*time.Second), pin("").StreamID)
	assert.Assert(t, !ok)
	_, ok = p.Find(start, pinner.StreamID("store", "r1"))
	assert.Assert(t, !ok, "another workspace's stream")

	p.Record(start, pin("v2"))
	_, ok = p.Find(start, pin("").StreamID)
	assert.Assert(t, !ok, "two versions")

	p.Record(start.Add(time.Minute), pinner.Pin{StreamID: 7, ExpiresAt: start.Add(2 * time.Minute)})
	assert.Equal(t, p.Len(), 1)
}

// An instance that takes a stream up asks one that received the pin, even if the first
// instance and all but one of the holders are gone, in a fleet of any size.
func TestHoldersAreAskedThatReceivedThePin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := make([]string, rapid.IntRange(2, 400).Draw(t, "instances"))
		for i := range members {
			members[i] = fmt.Sprint("i", i)
		}
		streamID := rapid.Uint64().Draw(t, "stream")
		sender, receiver := pinner.New(members[0]), pinner.New(members[1])
		sender.SetMembers(members)
		holders := sender.Holders(streamID)
		assert.Assert(t, len(holders) >= min(len(members)-1, 3))
		assert.Assert(t, !slices.Contains(holders, members[0]))
		if slices.Contains(holders, members[1]) {
			return
		}
		gone := append([]string{members[0]}, holders[1:]...)
		receiver.SetMembers(slices.DeleteFunc(slices.Clone(members), func(member string) bool { return slices.Contains(gone, member) }))
		assert.Assert(t, slices.Contains(receiver.Holders(streamID), holders[0]))
	})
}

func ExamplePinner() {
	now := time.Now()
	p := pinner.New("instance-a")
	streamID := pinner.StreamID("clinic", "request-1")
	p.Record(now, pinner.Pin{StreamID: streamID, Service: "chat", Version: "v1.1", ExpiresAt: now.Add(15 * time.Second)})
	pin, ok := p.Find(now.Add(time.Second), streamID)
	fmt.Println(pin.Service, pin.Version, ok)
	// Output: chat v1.1 true
}
