package joiner

import (
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

// phase is what a stream waits for.
type phase int8

const (
	// receiving waits for the next chunk.
	receiving phase = iota
	// probing waits for the answer to a probe.
	probing
	// resuming waits for the answer to a resumption.
	resuming
	// ended waits for nothing.
	ended
)

// chunk is a chunk that came before its turn.
type chunk struct {
	data []byte
	last bool
}

// Joiner joins one stream.
type Joiner struct {
	settings Settings
	phase    phase
	// next is the number of the chunk to emit next.
	next int
	// connection is the number of the connection in use.
	connection int
	early      map[int]chunk

	// heard is when the stream last made progress or was found alive.
	heard time.Time
	// gap and spread are the mean time between chunks and its deviation.
	gap, spread time.Duration
	// doublings counts the probes in a row that found a slow endpoint.
	doublings int

	// due is when an answer to a probe or a resumption is given up.
	due time.Time
	// probes and resumptions count those since the last new chunk.
	probes, resumptions int

	// actions is used again by each call.
	actions []Action
}

// New returns a Joiner for a stream whose first connection is number 0. The
// stream begins with the first Tick.
func New(settings Settings) *Joiner {
	return &Joiner{settings: settings, actions: make([]Action, 0, 2)}
}

// OnChunk takes a chunk, whose data now belongs to the Joiner; last says that
// it ends the stream. The actions are valid until the next call.
func (j *Joiner) OnChunk(now time.Time, _ int, number int, data []byte, last bool) []Action {
	j.actions = j.actions[:0]
	switch {
	case j.phase == ended || number < j.next:
		return nil
	case number > j.next:
		j.keep(number, chunk{data: data, last: last})
		return nil
	}
	j.progress(now)
	j.emit(data, last)
	if len(j.early) > 0 {
		j.emitEarly()
	}

	return j.actions
}

// progress notes that a new chunk came; a probe under way is of no use now.
func (j *Joiner) progress(now time.Time) {
	if j.next > 0 {
		j.observe(now.Sub(j.heard))
	}
	j.heard = now
	j.doublings, j.probes, j.resumptions = 0, 0, 0
	if j.phase == probing {
		j.phase = receiving
	}
}

// observe takes the time between two chunks, as TCP does round trips.
func (j *Joiner) observe(gap time.Duration) {
	if j.gap == 0 {
		j.gap, j.spread = gap, gap/2
		return
	}
	off := gap - j.gap
	j.gap += off / 8
	if off < 0 {
		off = -off
	}
	j.spread += (off - j.spread) / 4
}

func (j *Joiner) emit(data []byte, last bool) {
	j.next++
	if len(data) > 0 {
		j.actions = append(j.actions, Action{Type: Emit, Data: data})
	}
	if last {
		j.phase = ended
		j.early = nil
		j.actions = append(j.actions, Action{Type: Done})
	}
}

// keep holds an early chunk; over the bound it is dropped, and comes again
// with the resumption that fetches the chunks before it.
func (j *Joiner) keep(number int, c chunk) {
	if j.early == nil {
		j.early = map[int]chunk{}
	}
	if len(j.early) < j.settings.Ahead {
		j.early[number] = c
	}
}

func (j *Joiner) emitEarly() {
	for j.phase != ended {
		c, ok := j.early[j.next]
		if !ok {
			return
		}
		delete(j.early, j.next)
		j.emit(c.data, c.last)
	}
}

// OnDisconnect reports that a connection ended.
func (j *Joiner) OnDisconnect(now time.Time, connection int) []Action {
	if j.phase == ended || connection != j.connection {
		return nil
	}

	return j.resume(now)
}

// resume asks for the rest of the stream on a new connection. The old one is
// of no use any more, though its chunks still count.
func (j *Joiner) resume(now time.Time) []Action {
	if j.resumptions >= j.settings.Tries {
		return j.fail()
	}
	j.resumptions++
	j.connection++
	j.phase = resuming
	j.due = now.Add(j.settings.ProbeTimeout)

	return []Action{{Type: Resume, Connection: j.connection, FirstChunk: j.next}}
}

// OnResumeReply reports whether the endpoint took a resumption. One that it did not
// take is followed by a probe.
func (j *Joiner) OnResumeReply(now time.Time, connection int, ok bool) []Action {
	if j.phase != resuming || connection != j.connection {
		return nil
	}
	if !ok {
		return j.probe(now)
	}
	j.phase = receiving
	j.heard = now

	return nil
}

func (j *Joiner) probe(now time.Time) []Action {
	if j.probes >= j.settings.Tries {
		return j.fail()
	}
	j.probes++
	j.phase = probing
	j.due = now.Add(j.settings.ProbeTimeout)

	return []Action{{Type: Probe}}
}

// OnProbeReply takes the answer to a probe: whether the stream started, and the
// number of chunks made.
func (j *Joiner) OnProbeReply(now time.Time, state StreamState, started bool, made int) []Action {
	if j.phase != probing {
		return nil
	}
	switch {
	case state == StateNotFound || state == StateCanceled:
		return j.fail()
	case state == StateFinished || (started && made > j.next):
		// The connection is silent: there is more than it brought.
		return j.resume(now)
	}
	// The endpoint is slow, or the stream still waits there.
	j.phase = receiving
	j.heard = now
	j.probes = 0
	j.doublings++

	return nil
}

// fail ends the stream: as partial if the caller has a part of it, else as
// lost, which may have run.
func (j *Joiner) fail() []Action {
	j.phase = ended
	j.early = nil
	if j.next > 0 {
		return []Action{{Type: Fail, ErrorKind: answerer.KindTruncated}}
	}

	return []Action{{Type: Fail, ErrorKind: answerer.KindEndpointLost}}
}

// Tick does what is due.
func (j *Joiner) Tick(now time.Time) []Action {
	if j.heard.IsZero() {
		j.heard = now
		return nil
	}
	next := j.NextTick()
	if next.IsZero() || now.Before(next) {
		return nil
	}

	return j.probe(now)
}

// NextTick returns when Tick has something to do; zero: nothing.
func (j *Joiner) NextTick() time.Time {
	switch {
	case j.phase == ended || j.heard.IsZero():
		return time.Time{}
	case j.phase == receiving:
		return j.heard.Add(j.silence())
	default:
		return j.due
	}
}

// silence returns the time without a new chunk after which the connection is
// probed. It doubles while probes find that the endpoint is slow.
func (j *Joiner) silence() time.Duration {
	if j.next == 0 {
		return j.settings.FirstChunkProbeDelay
	}
	usual := time.Duration(j.settings.Gaps)*j.gap + 4*j.spread
	silence := min(max(usual, j.settings.Floor), j.settings.Ceiling)
	for range j.doublings {
		if silence >= j.settings.Ceiling {
			break
		}
		silence *= 2
	}

	return min(silence, j.settings.Ceiling)
}
