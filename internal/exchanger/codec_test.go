package exchanger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/granter"
	"github.com/oleanderpick/oleanderpick/pkg/quarantiner"
)

// TestSuspectsDoNotGrowAsTheyGoRound passes one crash between two instances
// whose clocks differ, for half of its time: it stays one crash, a suspect that may
// run once more, and it expires in its time.
func TestSuspectsDoNotGrowAsTheyGoRound(t *testing.T) {
	const fingerprint = 7
	const delay, interval, skew = 3 * time.Millisecond, 250 * time.Millisecond, 5 * time.Minute
	settings := quarantiner.DefaultSettings()
	here, there := quarantiner.New(settings), quarantiner.New(settings)
	now := time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)
	here.RecordLocalCrash(now, []uint64{fingerprint, 8, 9})

	for range settings.SuspicionTTL / 2 / interval {
		sent := each(here.EntriesToShare(now), encodeSuspect(now))
		now = now.Add(delay)
		there.Merge(now.Add(skew), each(sent, decodeSuspect(now.Add(skew))))
		reply := each(there.EntriesToShare(now.Add(skew)), encodeSuspect(now.Add(skew)))
		now = now.Add(delay)
		here.Merge(now, each(reply, decodeSuspect(now)))
		for _, entry := range here.EntriesToShare(now) {
			assert.Equal(t, len(entry.Crashes), 1)
		}
		now = now.Add(interval)
	}
	assert.Equal(t, here.Decide(now, fingerprint), quarantiner.Suspect)
	now = now.Add(settings.SuspicionTTL)
	assert.Equal(t, len(here.EntriesToShare(now)), 0)
}

func TestWantAndGrantKeepTheBorrowersClock(t *testing.T) {
	base := time.Now()
	want := granter.CreditRequest{
		Endpoint: "engine-1", InUse: granter.Credit{Slots: 1, Tokens: 2}, UnexpiredCredit: granter.Credit{Slots: 3, Tokens: 4},
		Waiting: [granter.Tiers]granter.Credit{1: {Slots: 5, Tokens: 6}}, GrantEpoch: 7, RequestedAt: base.Add(time.Second),
	}
	atHome := decodeWant(encodeWant(base)(want))
	grant := granter.Grant{Endpoint: "engine-1", Credit: want.UnexpiredCredit, TTL: time.Second, Epoch: 8, RequestedAt: atHome.RequestedAt}
	back := decodeGrant(base)(encodeGrant(grant))
	assert.Equal(t, back.RequestedAt, want.RequestedAt)
	assert.Equal(t, back.TTL, time.Second)
	atHome.RequestedAt = want.RequestedAt
	assert.Equal(t, atHome, want)
}
