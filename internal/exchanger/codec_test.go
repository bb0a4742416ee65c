package exchanger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/granter"
	"github.com/oleanderpick/oleanderpick/pkg/quarantiner"
)

// Two instances whose clocks differ send each other the quarantine entries of one
// crash repeatedly, for half of the suspicion TTL. Each entry keeps a single crash, so
// that its request remains a suspect, and expires in time.
func TestCrashExchangedRepeatedlyIsCountedOnceAndExpires(t *testing.T) {
	const fingerprint = 7
	const delay, interval, skew = 3 * time.Millisecond, 250 * time.Millisecond, 5 * time.Minute
	settings := quarantiner.DefaultSettings()
	local, remote := quarantiner.New(settings), quarantiner.New(settings)
	now := time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)
	local.RecordLocalCrash(now, []uint64{fingerprint, 8, 9})

	for range settings.SuspicionTTL / 2 / interval {
		sent := convertAll(local.EntriesToShare(now), quarantineEntryEncoder(now))
		now = now.Add(delay)
		remote.Merge(now.Add(skew), convertAll(sent, quarantineEntryDecoder(now.Add(skew))))
		reply := convertAll(remote.EntriesToShare(now.Add(skew)), quarantineEntryEncoder(now.Add(skew)))
		now = now.Add(delay)
		local.Merge(now, convertAll(reply, quarantineEntryDecoder(now)))
		for _, entry := range local.EntriesToShare(now) {
			assert.Equal(t, len(entry.Crashes), 1)
		}
		now = now.Add(interval)
	}
	assert.Equal(t, local.Decide(now, fingerprint), quarantiner.Suspect)
	now = now.Add(settings.SuspicionTTL)
	assert.Equal(t, len(local.EntriesToShare(now)), 0)
}

func TestGrantReturnsCreditRequestTimeByBorrowersClock(t *testing.T) {
	base := time.Now()
	request := granter.CreditRequest{
		Endpoint: "engine-1", InUse: granter.Credit{Slots: 1, Tokens: 2}, UnexpiredCredit: granter.Credit{Slots: 3, Tokens: 4},
		Waiting: [granter.TierCount]granter.Credit{1: {Slots: 5, Tokens: 6}}, GrantEpoch: 7, RequestedAt: base.Add(time.Second),
	}
	decodedRequest := decodeCreditRequest(creditRequestEncoder(base)(request))
	grant := granter.Grant{Endpoint: "engine-1", Credit: request.UnexpiredCredit, TTL: time.Second, Epoch: 8, RequestedAt: decodedRequest.RequestedAt}
	decodedGrant := grantDecoder(base)(encodeGrant(grant))
	assert.Equal(t, decodedGrant.RequestedAt, request.RequestedAt)
	assert.Equal(t, decodedGrant.TTL, time.Second)
	decodedRequest.RequestedAt = request.RequestedAt
	assert.Equal(t, decodedRequest, request)
}
