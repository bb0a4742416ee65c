package blockencoder_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/blockencoder"
	"github.com/oleanderpick/oleanderpick/pkg/isolator"
)

// A record arrives as it was sent. Of the times that are passed on again and again, none
// becomes later.
func TestRecordsArriveAsTheyWereSent(t *testing.T) {
	const transit = 200 * time.Millisecond
	sentAt := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	sent := isolator.Record{
		Block: 1 << 60, Companions: []uint64{3, 4}, Trials: 3, FailedTrials: 2,
		Crashes: []isolator.Crash{{EndpointID: 7, At: sentAt.Add(-time.Minute)}, {EndpointID: 8, At: sentAt.Add(-time.Second), HasBegun: true}},

		LastCompletedAt: sentAt.Add(-time.Hour), LastTrialAt: sentAt.Add(-30 * time.Second), LastRefusedAt: sentAt,
	}
	received := blockencoder.Decode(sentAt.Add(transit), blockencoder.Encode(sentAt, []isolator.Record{sent}))
	assert.Equal(t, len(received), 1)
	for _, times := range [][2]time.Time{
		{received[0].LastCompletedAt, sent.LastCompletedAt}, {received[0].LastTrialAt, sent.LastTrialAt}, {received[0].LastRefusedAt, sent.LastRefusedAt},
	} {
		assert.Assert(t, !times[0].After(times[1]) && times[1].Sub(times[0]) < time.Second)
	}
	received[0].LastCompletedAt, received[0].LastTrialAt, received[0].LastRefusedAt = sent.LastCompletedAt, sent.LastTrialAt, sent.LastRefusedAt
	for i := range received[0].Crashes {
		received[0].Crashes[i].At = received[0].Crashes[i].At.Add(-transit)
	}
	assert.DeepEqual(t, received[0], sent, cmpopts.IgnoreUnexported(isolator.Record{}))

	never := blockencoder.Decode(sentAt, blockencoder.Encode(sentAt, []isolator.Record{{Block: 1}}))
	assert.Assert(t, never[0].LastCompletedAt.IsZero() && never[0].LastTrialAt.IsZero() && never[0].LastRefusedAt.IsZero())
}
