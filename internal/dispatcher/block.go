package dispatcher

import (
	"strings"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/isolator"
)

// HasBlockRecords reports whether prompt blocks are known that were present when endpoints
// crashed. It takes no lock.
func (d *Dispatcher) HasBlockRecords() bool {
	return d.hasBlockRecords.Load()
}

// DecideBlocks decides whether a request whose prompt has the blocks may be sent to an
// endpoint now. If the verdict is isolator.Trial, it must be sent.
func (d *Dispatcher) DecideBlocks(blocks []uint64) (verdict isolator.Verdict) {
	if len(blocks) == 0 || !d.HasBlockRecords() {
		return isolator.Allowed
	}
	d.withState(func() { verdict = d.isolator.Decide(d.clock.Now(), blocks) })

	return verdict
}

// MayRepeatBlocks reports whether a request whose prompt has the blocks may be sent to
// another endpoint after the one that had not begun to answer it crashed.
func (d *Dispatcher) MayRepeatBlocks(blocks []uint64) bool {
	if len(blocks) == 0 || !d.HasBlockRecords() {
		return true
	}
	mayRepeat := true
	d.withState(func() { mayRepeat = d.isolator.MayRepeat(blocks) })

	return mayRepeat
}

// RecordCompletedBlocks records that a request whose prompt has the blocks ran to
// completion.
func (d *Dispatcher) RecordCompletedBlocks(blocks []uint64) {
	d.withState(func() { d.recordCompletedBlocks(blocks) })
}

// recordCompletedBlocks is RecordCompletedBlocks for callers that hold the lock.
func (d *Dispatcher) recordCompletedBlocks(blocks []uint64) {
	if len(blocks) == 0 {
		return
	}
	now := d.clock.Now()
	d.isolator.RecordCompletion(now, blocks)
	d.reportCauses(now, "completion")
}

// blocksToShare returns the records of blocks to send to peers.
func (d *Dispatcher) blocksToShare(now time.Time) []isolator.Record {
	if !d.HasBlockRecords() {
		return nil
	}
	records := d.isolator.RecentRecords(now, crashNewsAge)
	if d.sharesOldNews() {
		records = addOldNews(records, d.isolator.RecordsToShare(now), d.messageCount)
	}
	d.reportCauses(now, "expiry")

	return records
}

// mergeBlocks adds a peer's records of blocks to the local ones.
func (d *Dispatcher) mergeBlocks(now time.Time, records []isolator.Record) {
	if len(records) == 0 {
		return
	}
	d.isolator.Merge(now, records)
	d.reportCauses(now, "peer")
}

// QuarantinedBlocks returns the records of the blocks in quarantine, and whether this
// instance is the first live one by name.
func (d *Dispatcher) QuarantinedBlocks() (records []isolator.Record, isFirst bool) {
	d.withState(func() {
		isFirst = d.rank == 0
		if d.HasBlockRecords() {
			records = d.isolator.CauseRecords(d.clock.Now())
		}
	})

	return records, isFirst
}

// RestoreBlocks adds records of blocks that were archived.
func (d *Dispatcher) RestoreBlocks(records []isolator.Record) {
	d.withState(func() { d.mergeBlocks(d.clock.Now(), records) })
}

// reportCauses logs the blocks in quarantine if they have changed, and why they have.
func (d *Dispatcher) reportCauses(now time.Time, source string) {
	if d.isolator.IsEmpty() && !d.HasBlockRecords() {
		return
	}
	causes := d.isolator.Causes(now)
	d.hasBlockRecords.Store(!d.isolator.IsEmpty())
	texts := make([]string, 0, len(causes))
	for _, blocks := range causes {
		texts = append(texts, isolator.FormatBlocks(blocks))
	}
	text := strings.Join(texts, ", ")
	if text != d.quarantinedBlocks {
		d.logger.Warn("Blocks in quarantine changed.", "blocks", text, "before", d.quarantinedBlocks, "source", source)
		d.quarantinedBlocks = text
	}
}
