package joiner

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

// phase says what a Joiner is waiting for.
type phase int8

const (
	// receiving means that the Joiner waits for the next chunk.
	receiving phase = iota
	// probing means that the Joiner waits for the answer to a probe.
	probing
	// resuming means that the Joiner waits for the answer to a resumption.
	resuming
	// ended means that the stream is complete or has failed.
	ended
)

// earlyChunk is a chunk that arrived before one with a lower number.
type earlyChunk struct {
	data []byte
	last bool
}

// Joiner assembles one stream from the chunks of its connections.
type Joiner struct {
	settings Settings
	phase    phase
	// nextChunk is the number of the chunk to emit next.
	nextChunk int
	// connection is the number of the newest connection.
	connection int
	// earlyChunks holds chunks that arrived out of order, by their numbers.
	earlyChunks map[int]earlyChunk

	// lastActivity is when the stream began, a new chunk last arrived, a
	// resumption was accepted, or a probe found the endpoint slow or the stream
	// queued.
	lastActivity time.Time
	// meanGap and gapDeviation are moving averages of the time between chunks
	// and of its deviation from meanGap.
	meanGap, gapDeviation time.Duration
	// slowProbes is the number of consecutive probes that found the endpoint
	// slow or the stream queued.
	slowProbes int

	// replyDeadline is when the Joiner stops waiting for the answer to a probe
	// or a resumption.
	replyDeadline time.Time
	// probes and resumptions count those requested since the last new chunk. A
	// probe that finds the endpoint slow also sets probes to 0.
	probes, resumptions int

	// actions is the buffer for the actions that OnChunk returns. Each call uses it
	// again.
	actions []Action
}

// New returns a Joiner for a stream whose first connection has the number 0. The
// first call of Tick sets the time at which the stream begins.
func New(settings Settings) *Joiner {
	return &Joiner{settings: settings, actions: make([]Action, 0, 2)}
}

// OnChunk takes in a chunk that arrived on any connection; last says that it ends
// the stream. The caller must not change data any more. The returned actions are
// valid until the next call.
func (j *Joiner) OnChunk(now time.Time, _ int, number int, data []byte, last bool) []Action {
	j.actions = j.actions[:0]
	switch {
	case j.phase == ended || number < j.nextChunk:
		return nil
	case number > j.nextChunk:
		j.storeEarlyChunk(number, earlyChunk{data: data, last: last})
		return nil
	}
	j.recordProgress(now)
	j.emitChunk(data, last)
	if len(j.earlyChunks) > 0 {
		j.emitEarlyChunks()
	}

	return j.actions
}

// recordProgress records that the next chunk of the stream arrived. The answer
// to a probe that is under way is then ignored.
func (j *Joiner) recordProgress(now time.Time) {
	if j.nextChunk > 0 {
		j.updateGapEstimate(now.Sub(j.lastActivity))
	}
	j.lastActivity = now
	j.slowProbes, j.probes, j.resumptions = 0, 0, 0
	if j.phase == probing {
		j.phase = receiving
	}
}

// updateGapEstimate updates the mean and the deviation of the time between
// chunks, with the weights that TCP uses for its round-trip time (RFC 6298).
func (j *Joiner) updateGapEstimate(gap time.Duration) {
	if j.meanGap == 0 {
		j.meanGap, j.gapDeviation = gap, gap/2
		return
	}
	deviation := gap - j.meanGap
	j.meanGap += deviation / 8
	if deviation < 0 {
		deviation = -deviation
	}
	j.gapDeviation += (deviation - j.gapDeviation) / 4
}

// emitChunk adds the actions that pass the next chunk to the caller and, after
// the last one, end the stream. A chunk without data is not passed on.
func (j *Joiner) emitChunk(data []byte, last bool) {
	j.nextChunk++
	if len(data) > 0 {
		j.actions = append(j.actions, Action{Type: Emit, Data: data})
	}
	if last {
		j.phase = ended
		j.earlyChunks = nil
		j.actions = append(j.actions, Action{Type: Done})
	}
}

// storeEarlyChunk stores a chunk that arrived out of order. If MaxEarlyChunks are
// stored already, it is dropped and arrives again after the resumption that
// fetches the chunks before it.
func (j *Joiner) storeEarlyChunk(number int, c earlyChunk) {
	if j.earlyChunks == nil {
		j.earlyChunks = map[int]earlyChunk{}
	}
	if len(j.earlyChunks) < j.settings.MaxEarlyChunks {
		j.earlyChunks[number] = c
	}
}

// emitEarlyChunks emits the stored chunks that are now next in order.
func (j *Joiner) emitEarlyChunks() {
	for j.phase != ended {
		c, ok := j.earlyChunks[j.nextChunk]
		if !ok {
			return
		}
		delete(j.earlyChunks, j.nextChunk)
		j.emitChunk(c.data, c.last)
	}
}

// OnDisconnect is called when a connection has ended. It returns the action to resume
// the stream, unless a newer connection is in use.
func (j *Joiner) OnDisconnect(now time.Time, connection int) []Action {
	if j.phase == ended || connection != j.connection {
		return nil
	}

	return j.resume(now)
}

// resume returns the action to fetch the rest of the stream on a new connection.
// Chunks that still arrive on the old one are accepted.
func (j *Joiner) resume(now time.Time) []Action {
	if j.resumptions >= j.settings.MaxAttempts {
		return j.fail()
	}
	j.resumptions++
	j.connection++
	j.phase = resuming
	j.replyDeadline = now.Add(j.settings.ReplyTimeout)

	return []Action{{Type: Resume, Connection: j.connection, FirstChunk: j.nextChunk}}
}

// OnResumeReply is called with the endpoint's answer to a resumption: ok says whether
// it accepted it. If not, the stream is probed.
func (j *Joiner) OnResumeReply(now time.Time, connection int, ok bool) []Action {
	if j.phase != resuming || connection != j.connection {
		return nil
	}
	if !ok {
		return j.probe(now)
	}
	j.phase = receiving
	j.lastActivity = now

	return nil
}

// probe returns the action to ask the endpoint for the stream's state, or fails
// the stream if too many probes had no answer.
func (j *Joiner) probe(now time.Time) []Action {
	if j.probes >= j.settings.MaxAttempts {
		return j.fail()
	}
	j.probes++
	j.phase = probing
	j.replyDeadline = now.Add(j.settings.ReplyTimeout)

	return []Action{{Type: Probe}}
}

// OnProbeReply is called with the endpoint's answer to a probe: the state of the
// stream, whether it started, and the number of chunks produced so far.
func (j *Joiner) OnProbeReply(now time.Time, state StreamState, started bool, producedChunks int) []Action {
	if j.phase != probing {
		return nil
	}
	switch {
	case state == StateNotFound || state == StateCanceled:
		return j.fail()
	case state == StateFinished || (started && producedChunks > j.nextChunk):
		// The connection is silent: the endpoint produced chunks that did not
		// arrive.
		return j.resume(now)
	}
	// The endpoint is slow, or the stream is still queued there.
	j.phase = receiving
	j.lastActivity = now
	j.probes = 0
	j.slowProbes++

	return nil
}

// fail ends the stream with an error: KindTruncated if the caller has part of
// it, else KindEndpointLost, with which the request may have run.
func (j *Joiner) fail() []Action {
	j.phase = ended
	j.earlyChunks = nil
	if j.nextChunk > 0 {
		return []Action{{Type: Fail, ErrorKind: answerer.KindTruncated}}
	}

	return []Action{{Type: Fail, ErrorKind: answerer.KindEndpointLost}}
}

// Tick probes the stream if nothing arrived for too long, or if a probe or a
// resumption was not answered in time.
func (j *Joiner) Tick(now time.Time) []Action {
	if j.lastActivity.IsZero() {
		j.lastActivity = now
		return nil
	}
	nextTick := j.NextTick()
	if nextTick.IsZero() || now.Before(nextTick) {
		return nil
	}

	return j.probe(now)
}

// NextTick returns the time at which Tick must be called next, or the zero time if
// it need not be called.
func (j *Joiner) NextTick() time.Time {
	switch {
	case j.phase == ended || j.lastActivity.IsZero():
		return time.Time{}
	case j.phase == receiving:
		return j.lastActivity.Add(j.probeDelay())
	default:
		return j.replyDeadline
	}
}

// probeDelay returns the time after lastActivity at which the stream is probed.
// It doubles with each consecutive probe that finds the endpoint slow.
func (j *Joiner) probeDelay() time.Duration {
	if j.nextChunk == 0 {
		return j.settings.FirstChunkProbeDelay
	}
	expectedDelay := time.Duration(j.settings.GapMultiplier)*j.meanGap + 4*j.gapDeviation
	delay := min(max(expectedDelay, j.settings.MinProbeDelay), j.settings.MaxProbeDelay)
	for range j.slowProbes {
		if delay >= j.settings.MaxProbeDelay {
			break
		}
		delay *= 2
	}

	return min(delay, j.settings.MaxProbeDelay)
}
