package placer

import "time"

// Settings tune a Placer. A zero value means the default.
type Settings struct {
	// InstanceName and DataCentre are this instance's.
	InstanceName string
	DataCentre   string
	// LongPrompt is the number of prompt tokens from which on a prompt is kept
	// away from streams. An engine that reads this many holds up its streams
	// for several chunks.
	LongPrompt int
	// PrefillRate is the prompt tokens that an engine reads in a
	// millisecond, until it was observed.
	PrefillRate float64
}

const (
	// defaultLongPrompt is two usual chunks of chunked prefill, in tokens.
	defaultLongPrompt = 4096
	// defaultPrefillRate is that of the slowest engine planned for, in tokens
	// a millisecond.
	defaultPrefillRate = 35
	// batchShare is the share of an engine's slots that streams of short
	// prompts should take.
	batchShare = 0.94
	// defaultSlots is an engine's usual batch, where it does not say.
	defaultSlots = 64
	// busyTarget is the share of its time that an engine may spend on
	// reading long prompts before they wait for each other.
	busyTarget = 0.6
	// backlogTarget is the time in which an engine should have read what
	// waits there.
	backlogTarget = 500 * time.Millisecond
	// demandMemory is the time constant of the observed demand.
	demandMemory = 2 * time.Second
	// startShare is the share of engines for short prompts before any demand
	// was seen.
	startShare = 0.4
	// borderMemory is the time constant with which the border follows the
	// demand.
	borderMemory = time.Second
	// shortMost is the share of the engines that short prompts may take while
	// long ones wait.
	shortMost = 0.7
	// leadFor is how long the border that another instance told holds.
	leadFor = time.Second
	// surgeTime is about how long a backlog lasts beyond the time to read it; who
	// comes back sooner mostly finds it there still.
	surgeTime = time.Second
	// fetchLeast is the prompt tokens from which on it pays to copy them from
	// another engine's memory: a transfer has a set-up of some milliseconds.
	fetchLeast = 512
	// borderSlack is how far the border must be from where it should be, in
	// engines, before it moves.
	borderSlack = 0.7
	// toldFor is how long a read part is told to other instances; each hears
	// from each within this time.
	toldFor = 1500 * time.Millisecond
	// readsMost bounds the reads of an engine that are told at once.
	readsMost = 24
	// pauseTime is the time of reading beyond which streams pause for longer
	// than they usually may: with the steps between, about 200 ms.
	pauseTime = 140 * time.Millisecond
	// pausePenalty is the time by which a long prompt is put off for each stream that
	// it would hold up.
	pausePenalty = 25 * time.Millisecond
	// remotePenalty is how many requests more the own data centre may run
	// before another one is taken; a way there and back takes a few
	// milliseconds, about what one more request in a batch costs.
	remotePenalty = 1.0
	// refusedFor is how long an endpoint that refused for want of room is
	// passed over.
	refusedFor = 150 * time.Millisecond
	// silentAll is the silence of several streams from which on their endpoint
	// gets nothing new: they pause together for at most four steps that read a
	// chunk, some 200 ms, are heard every 100 ms, and do not all lose packets.
	silentAll = 450 * time.Millisecond
	// silentOne is that of a single stream, which may lose packets twice.
	silentOne = time.Second
	// ejectAfter is the number of failures in a row that eject an endpoint.
	ejectAfter = 2
	// ejectFor is the first ejection; it doubles with each in a row.
	ejectFor = 500 * time.Millisecond
	// ejectMost is the longest ejection.
	ejectMost = 4 * time.Second
	// failureMemory is the weight of one more result in the share of failures.
	failureMemory = 0.15
	// failureExcess is how far an endpoint's share of failures may lie over
	// that of its peers.
	failureExcess = 0.25
	// partsMost is the cached parts remembered for one engine.
	partsMost = 1024
	// moveGain is by how much sooner another engine must give the first token
	// before a family of prompts leaves its own, beside the time in which the
	// other would read the shared part again, and before a short prompt leaves its
	// group.
	moveGain = 60 * time.Millisecond
	// lateShare is the share of the target from which on a predicted wait is taken
	// to end late.
	lateShare = 0.6
	// stepTime is the share that one running stream adds to the wait for a
	// first token.
	stepTime = 500 * time.Microsecond
)

func (s Settings) withDefaults() Settings {
	if s.LongPrompt <= 0 {
		s.LongPrompt = defaultLongPrompt
	}
	if s.PrefillRate <= 0 {
		s.PrefillRate = defaultPrefillRate
	}

	return s
}
