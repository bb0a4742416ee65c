// Package blockencoder encodes and decodes what instances tell each other of prompt blocks
// that may crash endpoints.
package blockencoder

import (
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
			CompletedAgeMs: EncodeAge(now, record.LastCompletedAt), RefusedAgeMs: EncodeAge(now, record.LastRefusedAt),
			TrialAgeMs: EncodeAge(now, record.LastTrialAt), Trials: uint32(record.Trials), Failed: uint32(record.FailedTrials),
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
			LastCompletedAt: DecodeAge(now, block.GetCompletedAgeMs()), LastRefusedAt: DecodeAge(now, block.GetRefusedAgeMs()),
			LastTrialAt: DecodeAge(now, block.GetTrialAgeMs()), Trials: int(block.GetTrials()), FailedTrials: int(block.GetFailed()),
		}
		for _, crash := range block.GetCrashes() {
			at := now.Add(-time.Duration(crash.GetAgeMs()) * time.Millisecond)
			record.Crashes = append(record.Crashes, isolator.Crash{EndpointID: crash.GetEndpoint(), At: at, HasBegun: crash.GetBegun()})
		}
		records = append(records, record)
	}

	return records
}
