// Package blockencoder encodes and decodes what instances tell each other of prompt blocks
// that may crash endpoints.
package blockencoder

import (
	"math"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/blockencoder/blockwire"
	"github.com/oleanderpick/oleanderpick/pkg/isolator"
)

// Encode returns the wire form of records of prompt blocks, with times as ages at now.
func Encode(now time.Time, records []isolator.Record) []*blockwire.Block {
	encoded := make([]*blockwire.Block, 0, len(records))
	for _, record := range records {
		block := &blockwire.Block{
			Id: record.Block, Companions: record.Companions,
			CompletedAgeMs: encodeAge(now, record.LastCompletedAt), RefusedAgeMs: encodeAge(now, record.LastRefusedAt),
			TrialAgeMs: encodeAge(now, record.LastTrialAt), Trials: uint32(record.Trials), Failed: uint32(record.FailedTrials),
		}
		for _, crash := range record.Crashes {
			block.Crashes = append(block.Crashes, &blockwire.BlockCrash{
				Endpoint: crash.EndpointID, AgeMs: toMilliseconds(now.Sub(crash.At)), Begun: crash.HasBegun,
			})
		}
		encoded = append(encoded, block)
	}

	return encoded
}

// Decode returns records of prompt blocks from a message that was received at now.
func Decode(now time.Time, blocks []*blockwire.Block) []isolator.Record {
	records := make([]isolator.Record, 0, len(blocks))
	for _, block := range blocks {
		record := isolator.Record{
			Block: block.GetId(), Companions: block.GetCompanions(),
			LastCompletedAt: decodeAge(now, block.GetCompletedAgeMs()), LastRefusedAt: decodeAge(now, block.GetRefusedAgeMs()),
			LastTrialAt: decodeAge(now, block.GetTrialAgeMs()), Trials: int(block.GetTrials()), FailedTrials: int(block.GetFailed()),
		}
		for _, crash := range block.GetCrashes() {
			at := now.Add(-time.Duration(crash.GetAgeMs()) * time.Millisecond)
			record.Crashes = append(record.Crashes, isolator.Crash{EndpointID: crash.GetEndpoint(), At: at, HasBegun: crash.GetBegun()})
		}
		records = append(records, record)
	}

	return records
}

// encodeAge returns the age of a time in milliseconds, at least 1; 0 for the zero time.
func encodeAge(now, at time.Time) uint32 {
	if at.IsZero() {
		return 0
	}

	return max(1, toMilliseconds(now.Sub(at)))
}

// maxTransitTime is longer than a message is usually on its way.
const maxTransitTime = 300 * time.Millisecond

// decodeAge returns the time of an age that a peer sent in a message received at now. The
// result is no later than what the peer meant, so that a time which is passed on again and
// again does not become later each time.
func decodeAge(now time.Time, ageMs uint32) time.Time {
	if ageMs == 0 {
		return time.Time{}
	}

	return now.Add(-time.Duration(ageMs)*time.Millisecond - maxTransitTime)
}

// toMilliseconds returns a duration in milliseconds, at least 0.
func toMilliseconds(age time.Duration) uint32 {
	return uint32(min(max(0, age.Milliseconds()), math.MaxUint32))
}
