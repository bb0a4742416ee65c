package dispatcher

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/isolator"
)

const (
	// crashCorrelationWindow is the time within which a broken answer and a refused
	// connection of the same endpoint count as one crash of it.
	crashCorrelationWindow = 2 * time.Second
	// maxBrokenAnswersPerEndpoint is the number of broken answers kept for an
	// endpoint.
	maxBrokenAnswersPerEndpoint = 64
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
	// BrokenAt is when the endpoint failed at the earliest: now, or when it last sent
	// something if it fell silent.
	BrokenAt time.Time

	recordedAt time.Time
}

// RecordBrokenAnswer records that the answer to a request broke off.
func (d *Dispatcher) RecordBrokenAnswer(placement Placement, answer BrokenAnswer) {
	d.withState(func() {
		answers := d.brokenAnswers[placement.EndpointID]
		if len(answers) >= maxBrokenAnswersPerEndpoint {
			answers = answers[1:]
		}
		answer.recordedAt = d.clock.Now()
		d.brokenAnswers[placement.EndpointID] = append(answers, answer)
	})
}

// RecordEndpointDown records that an endpoint accepts no connections. If it gave broken
// answers shortly before, it crashed, and each of their requests may be the cause.
func (d *Dispatcher) RecordEndpointDown(placement Placement) {
	d.withState(func() {
		now := d.clock.Now()
		var recent []BrokenAnswer
		for _, answer := range d.brokenAnswers[placement.EndpointID] {
			if now.Sub(answer.recordedAt) < crashCorrelationWindow {
				recent = append(recent, answer)
			}
		}
		delete(d.brokenAnswers, placement.EndpointID)
		if len(recent) > 0 {
			d.recordCrash(now, placement.EndpointID, recent)
		}
	})
}

// recordCrash attributes an endpoint's crash to the requests whose answers it broke off,
// and to their prompts' blocks.
func (d *Dispatcher) recordCrash(now time.Time, endpoint string, answers []BrokenAnswer) {
	crashedAt := now
	fingerprints := make([]uint64, 0, len(answers))
	prompts := make([]isolator.Prompt, 0, len(answers))
	for _, answer := range answers {
		if !answer.BrokenAt.IsZero() && answer.BrokenAt.Before(crashedAt) {
			crashedAt = answer.BrokenAt
		}
		fingerprints = append(fingerprints, answer.Fingerprint)
		prompts = append(prompts, isolator.Prompt{Blocks: answer.Blocks, HasBegun: answer.HasBegun})
	}
	d.quarantine.RecordCrash(crashedAt, endpoint, fingerprints)
	d.hasSuspects.Store(true)
	d.isolator.RecordCrash(now, crashedAt, endpoint, prompts)
	unbegunBlocks, begunBlocks := isolator.BlocksByProgress(prompts)
	d.logger.Warn("Endpoint crashed.", "endpoint", endpoint, "requests there", len(fingerprints), "age ms", now.Sub(crashedAt).Milliseconds(),
		"blocks of unbegun answers", isolator.FormatBlocks(unbegunBlocks), "blocks of begun answers", isolator.FormatBlocks(begunBlocks))
	d.reportCauses(now, "crash")
}
