package dispatcher_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// newLoadedDispatcher returns a running dispatcher of an instance in a data centre with so
// many peers, each of which has a load at every endpoint.
func newLoadedDispatcher(t testing.TB, endpoints, peers int) *dispatcher.Dispatcher {
	t.Helper()
	d := dispatcher.New(dispatcher.Settings{Name: "self", DataCentre: "a"}, dispatcher.Clock{Now: time.Now, SinceBoot: func() time.Duration { return time.Hour }}, hclog.NewNullLogger())
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = d.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-d.Done() })
	listing := make([]registrar.Endpoint, endpoints)
	loads := map[string]placer.Load{}
	for i := range listing {
		id := fmt.Sprintf("e%d", i)
		listing[i] = registrar.Endpoint{ID: id, Service: "llm", Address: id + ":80", DataCentre: "a", Slots: 16}
		loads[id] = placer.Load{RunningRequests: 3, RunningShortPrompts: 2, PendingTokens: 900}
	}
	d.ApplyListing(time.Hour, 0, listing)
	for i := range peers {
		d.ReceiveMessage(fmt.Sprintf("peer%d", i), dispatcher.Message{DataCentre: "a", Loads: loads})
	}

	return d
}

// A brief message has no loads, which make up most of the work for a message.
func TestBriefMessageHasNoLoads(t *testing.T) {
	d := newLoadedDispatcher(t, 3, 2)
	assert.Equal(t, len(d.BuildMessage(dispatcher.DataCentreLoads).Loads), 3)
	brief := d.BuildMessage(dispatcher.NoLoads)
	assert.Assert(t, brief.OmitsLoads && len(brief.Loads) == 0 && len(brief.Prefills) == 0 && len(brief.Demands) == 0)
}

func BenchmarkBuildMessage(b *testing.B) {
	d := newLoadedDispatcher(b, 90, 15)
	for name, scope := range map[string]dispatcher.LoadScope{
		"brief": dispatcher.NoLoads, "own loads": dispatcher.OwnLoads, "data centre": dispatcher.DataCentreLoads,
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				d.BuildMessage(scope)
			}
		})
	}
}

// Guards against an instance that never learns of crashes because it was cut off while they were
// news: some messages have older records too, in turn all of them.
func TestOldCrashesAreToldInSomeMessages(t *testing.T) {
	const requests, messages = 10, 40
	now := time.Now()
	d := dispatcher.New(dispatcher.Settings{Name: "self"}, dispatcher.Clock{Now: func() time.Time { return now }, SinceBoot: func() time.Duration { return time.Hour }}, hclog.NewNullLogger())
	placement := dispatcher.Placement{Choice: placer.Choice{EndpointID: "e"}}
	for n := range uint64(requests) {
		d.RecordBrokenAnswer(placement, dispatcher.BrokenAnswer{Fingerprint: n, Blocks: []uint64{100 + n}, BrokenAt: now})
	}
	d.RecordEndpointDown(placement)
	assert.Equal(t, len(d.BuildMessage(dispatcher.NoLoads).Suspects), requests)
	now = now.Add(5 * time.Second)
	suspects, blocks, records := map[uint64]bool{}, map[uint64]bool{}, 0
	for range messages {
		message := d.BuildMessage(dispatcher.NoLoads)
		for _, entry := range message.Suspects {
			suspects[entry.Fingerprint] = true
		}
		for _, record := range message.Blocks {
			blocks[record.Block] = true
		}
		records += len(message.Suspects) + len(message.Blocks)
	}
	assert.Equal(t, len(suspects), requests)
	assert.Equal(t, len(blocks), requests)
	assert.Assert(t, records <= 2*messages, "%d records in %d messages", records, messages)
}
