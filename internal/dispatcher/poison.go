package dispatcher

import (
	"slices"
	"strconv"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/quarantiner"
)

const (
	// crashCorrelationWindow is the time within which a broken answer and a refused
	// connection of the same endpoint count as one crash of it.
	crashCorrelationWindow = 2 * time.Second
	// maxBrokenAnswersPerEndpoint is the number of broken answers kept for an
	// endpoint.
	maxBrokenAnswersPerEndpoint = 64
	// maxSuspectsPerMessage is the number of suspects sent in one message to a peer.
	maxSuspectsPerMessage = 32
)

// BrokenAnswer is an answer that did not arrive whole, although the endpoint may have run
// the request. It is attributed to a crash only when the endpoint refuses connections soon
// after, because answers are also lost for other reasons.
type BrokenAnswer struct {
	// Fingerprint identifies the request.
	Fingerprint uint64
	// Blocks are the IDs of the blocks of its prompt that other prompts may contain too.
	Blocks []uint64
	// HasBegun reports whether a whole event of the answer came from this endpoint.
	HasBegun bool

	brokenAt time.Time
}

// RecordBrokenAnswer records that the answer to a request broke off.
func (d *Dispatcher) RecordBrokenAnswer(placement Placement, answer BrokenAnswer) {
	d.runAndWait(func() {
		answers := d.brokenAnswers[placement.EndpointID]
		if len(answers) >= maxBrokenAnswersPerEndpoint {
			answers = answers[1:]
		}
		answer.brokenAt = d.clock.Now()
		d.brokenAnswers[placement.EndpointID] = append(answers, answer)
	})
}

// RecordConnectionRefused records that an endpoint refuses connections. If it gave broken
// answers shortly before, it crashed, and each of their requests may be the cause.
func (d *Dispatcher) RecordConnectionRefused(placement Placement) {
	d.runAndWait(func() {
		now := d.clock.Now()
		answers := d.brokenAnswers[placement.EndpointID]
		fingerprints := make([]uint64, 0, len(answers))
		var unbegunBlocks, begunBlocks []uint64
		for _, answer := range answers {
			switch {
			case now.Sub(answer.brokenAt) >= crashCorrelationWindow:
				continue
			case answer.HasBegun:
				begunBlocks = append(begunBlocks, answer.Blocks...)
			default:
				unbegunBlocks = append(unbegunBlocks, answer.Blocks...)
			}
			fingerprints = append(fingerprints, answer.Fingerprint)
		}
		delete(d.brokenAnswers, placement.EndpointID)
		if len(fingerprints) == 0 {
			return
		}
		d.quarantine.RecordCrash(now, placement.EndpointID, fingerprints)
		d.hasSuspects.Store(true)
		d.logger.Warn("Endpoint crashed.", "endpoint", placement.EndpointID, "requests there", len(fingerprints),
			"blocks of unbegun answers", FormatBlocks(unbegunBlocks), "blocks of begun answers", FormatBlocks(begunBlocks))
	})
}

// FormatBlocks returns the sorted IDs of prompt blocks, without repetition, for logs.
func FormatBlocks(ids []uint64) string {
	var text []byte
	for i, id := range slices.Compact(slices.Sorted(slices.Values(ids))) {
		if i > 0 {
			text = append(text, ' ')
		}
		text = strconv.AppendUint(text, id, 16)
	}

	return string(text)
}

// HasSuspects reports whether any request is suspected of crashing endpoints. It does not
// wait for the control goroutine.
func (d *Dispatcher) HasSuspects() bool {
	return d.hasSuspects.Load()
}

// IsQuarantined reports whether a request is in quarantine because it may crash endpoints, so
// that it must not run now.
func (d *Dispatcher) IsQuarantined(fingerprint uint64) (quarantined bool) {
	d.runAndWait(func() { quarantined = d.quarantine.IsQuarantined(d.clock.Now(), fingerprint) })

	return quarantined
}

// RecordCompletion records that a request ran to completion, so that it is no longer a
// suspect.
func (d *Dispatcher) RecordCompletion(fingerprint uint64) {
	d.runAndWait(func() { d.quarantine.RecordCompletion(d.clock.Now(), fingerprint) })
}

// suspectsToShare returns the suspects to send to peers.
func (d *Dispatcher) suspectsToShare(now time.Time) []quarantiner.Entry {
	entries := d.quarantine.EntriesToShare(now)
	d.hasSuspects.Store(!d.quarantine.IsEmpty())

	return entries[:min(len(entries), maxSuspectsPerMessage)]
}

// mergeSuspects adds a peer's suspects to the local ones.
func (d *Dispatcher) mergeSuspects(now time.Time, entries []quarantiner.Entry) {
	if len(entries) == 0 {
		return
	}
	d.quarantine.Merge(now, entries)
	d.hasSuspects.Store(!d.quarantine.IsEmpty())
}
