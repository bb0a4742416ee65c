package gossiper

import (
	"time"

	"github.com/oleanderpick/oleanderpick/internal/gossiper/gossipwire"
	"github.com/oleanderpick/oleanderpick/pkg/isolator"
)

// encodeBlocks returns the wire form of records of prompt blocks, with times as ages.
func encodeBlocks(now time.Time, records []isolator.Record) []*gossipwire.Block {
	encoded := make([]*gossipwire.Block, 0, len(records))
	for _, record := range records {
		block := &gossipwire.Block{
			Id: record.Block, Companions: record.Companions,
			CompletedAgeMs: encodeAge(now, record.LastCompletedAt), RefusedAgeMs: encodeAge(now, record.LastRefusedAt),
			TrialAgeMs: encodeAge(now, record.LastTrialAt), Trials: uint32(record.Trials), Strong: uint32(record.StrongTrials),
		}
		for _, crash := range record.Crashes {
			block.Crashes = append(block.Crashes, &gossipwire.BlockCrash{
				Endpoint: crash.EndpointID, AgeMs: toMilliseconds(now.Sub(crash.At)), Begun: crash.HasBegun,
			})
		}
		encoded = append(encoded, block)
	}

	return encoded
}

// decodeBlocks returns records of prompt blocks from their wire form.
func decodeBlocks(now time.Time, blocks []*gossipwire.Block) []isolator.Record {
	records := make([]isolator.Record, 0, len(blocks))
	for _, block := range blocks {
		record := isolator.Record{
			Block: block.GetId(), Companions: block.GetCompanions(),
			LastCompletedAt: decodeAge(now, block.GetCompletedAgeMs()), LastRefusedAt: decodeAge(now, block.GetRefusedAgeMs()),
			LastTrialAt: decodeAge(now, block.GetTrialAgeMs()), Trials: int(block.GetTrials()), StrongTrials: int(block.GetStrong()),
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

// maxTransitTime is the longest time that a message is on its way, usually.
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
