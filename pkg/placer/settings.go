package placer

import "time"

// Settings configure a Placer. A zero MinLongPromptTokens or InitialPrefillRate
// stands for its default.
type Settings struct {
	// InstanceName and DataCentre identify this instance.
	InstanceName string
	DataCentre   string
	// MinLongPromptTokens is the length in tokens from which a prompt counts as
	// long and is kept away from running streams. Prefilling that many tokens
	// delays an engine's streams by several chunks.
	MinLongPromptTokens int
	// InitialPrefillRate is the number of prompt tokens that an engine prefills in
	// a millisecond, used until the rate has been observed.
	InitialPrefillRate float64
}

const (
	// defaultMinLongPromptTokens is two chunks of a usual chunked prefill, in
	// tokens.
	defaultMinLongPromptTokens = 4096
	// defaultInitialPrefillRate is the prefill rate of the slowest supported
	// engine, in tokens per millisecond.
	defaultInitialPrefillRate = 35
	// targetBatchFraction is the fraction of an engine's slots that streams with
	// short prompts should occupy.
	targetBatchFraction = 0.94
	// defaultSlots is the usual batch size of engines. It is used for engines that
	// do not report their slots.
	defaultSlots = 64
	// initialRunTime is the mean time for which a request runs, used until it has been
	// observed.
	initialRunTime = 500 * time.Millisecond
	// targetPrefillFraction is the fraction of its time that an engine can spend on
	// prefilling long prompts before they have to wait for each other.
	targetPrefillFraction = 0.6
	// targetBacklogTime is the time within which an engine should have prefilled
	// the prompts that wait there.
	targetBacklogTime = 500 * time.Millisecond
	// demandTimeConstant is the time constant with which the observed demand
	// decays.
	demandTimeConstant = 2 * time.Second
	// peerDemandTTL is how long the demand that a peer reported is valid.
	peerDemandTTL = 4 * time.Second
	// initialShortFraction is the fraction of a service's engines in the short group
	// before any demand has been observed.
	initialShortFraction = 0.4
	// splitTimeConstant is the time constant with which the split between the short
	// and the long group follows the demand.
	splitTimeConstant = time.Second
	// maxShortFraction limits the fraction of the engines in the short group when
	// there are too few engines for all prompts. If the short prompts' share of the
	// demand is larger, that share applies.
	maxShortFraction = 0.7
	// peerSplitTTL is how long a split that a peer reported is valid. In a large data
	// centre a peer's messages come every two seconds.
	peerSplitTTL = 4 * time.Second
	// remoteSplitTTL is how long a split that another data centre reported is valid.
	// Reports arrive several times a second, and a split changes slowly.
	remoteSplitTTL = 4 * time.Second
	// postponeDelay is added to the predicted wait to get the time after which a
	// postponed request should come back. A backlog lasts about this much longer
	// than its prefill takes, and earlier retries mostly still find it there.
	postponeDelay = time.Second
	// minCopyTokens is the smallest number of prompt tokens that are worth copying
	// from another engine's memory: a transfer takes some milliseconds to set up.
	minCopyTokens = 512
	// prefillPerCopy is how many times as long it takes to prefill blocks as to copy them. The
	// engines' interconnect moves the memory of a block about so much faster.
	prefillPerCopy = 8
	// splitTolerance is how far, in engines, the split may be from its target before
	// it changes.
	splitTolerance = 0.7
	// prefillReportWindow is how long the blocks of a prefill are reported to peers.
	// Every instance receives a message from every other within this time.
	prefillReportWindow = 3 * time.Second
	// maxReportedPrefills is the number of prefills of one engine that are reported
	// to peers at once.
	maxReportedPrefills = 24
	// maxReportedBlocks is the number of blocks of one engine that are reported, those of the newest
	// prompts that fit.
	maxReportedBlocks = 256
	// maxPromptBlocks is the number of shared blocks of a prompt beyond which neighbouring ones are combined.
	maxPromptBlocks = 64
	// maxHeardBlocks is the number of blocks of one engine that an instance reports to other data
	// centres for its peers.
	maxHeardBlocks = 32
	// maxPrefillPause is the longest prefill for which no streamPausePenalty is
	// added. With the decoding steps between its chunks, it pauses the streams on
	// the same engine for about 200 ms, the longest pause that they usually may have.
	maxPrefillPause = 140 * time.Millisecond
	// streamPausePenalty is added to the cost of an engine for each stream that the
	// prefill of a long prompt would pause there.
	streamPausePenalty = 25 * time.Millisecond
	// otherDataCentrePenalty is how many more requests an endpoint in this
	// instance's data centre may run before one in another data centre is chosen.
	// A round trip there takes a few milliseconds, about as much as one more request
	// in a batch.
	otherDataCentrePenalty = 1.0
	// remoteSampleSize is the number of engines in other data centres that are
	// compared with the best one of the own data centre.
	remoteSampleSize = 2
	// refusalCooldown is how long an endpoint gets no new requests after it refused
	// one for lack of capacity.
	refusalCooldown = 150 * time.Millisecond
	// maxMultiStreamSilence is how long an endpoint that runs several streams may be
	// silent and still get new requests. The streams pause together for at most four
	// steps that each prefill a chunk, some 200 ms; the activity of a stream is
	// recorded every 100 ms; and the streams do not all lose packets at once.
	maxMultiStreamSilence = 450 * time.Millisecond
	// maxSingleStreamSilence is how long an endpoint that runs a single stream may be
	// silent and still get new requests. One stream may lose packets twice in a row.
	maxSingleStreamSilence = time.Second
	// minFailuresToEject is the number of consecutive failures after which an
	// endpoint is ejected.
	minFailuresToEject = 2
	// baseEjectionTime is the length of an endpoint's first ejection. It doubles with
	// each consecutive ejection.
	baseEjectionTime = 500 * time.Millisecond
	// maxEjectionTime is the longest ejection of an endpoint.
	maxEjectionTime = 4 * time.Second
	// baseMisdirectionTime is how long an endpoint gets no requests after another one answered at its
	// address. It doubles each time, as a registration that is out of date is corrected in a few
	// seconds, and ends, as the answer may have been wrong.
	baseMisdirectionTime = 2 * time.Second
	// maxMisdirectionTime is the longest of these times.
	maxMisdirectionTime = 30 * time.Second
	// failureSmoothingFactor is the weight of the newest result in an endpoint's
	// failure ratio.
	failureSmoothingFactor = 0.15
	// maxExcessFailureRatio is how far an endpoint's failure ratio may exceed the
	// mean of its service.
	maxExcessFailureRatio = 0.25
	// maxCachedBlocks is the number of cached prompt blocks remembered for one
	// engine.
	maxCachedBlocks = 1024
	// minMoveGain is how much sooner another engine must send the first token before
	// a short prompt leaves the short group or a long prompt leaves the preferred
	// engine of its prefix group. For the long prompt, the time to prefill the shared
	// blocks again comes on top.
	minMoveGain = 60 * time.Millisecond
	// lateFraction is the fraction of the target time to the first token above which
	// a predicted wait counts as late.
	lateFraction = 0.6
	// delayPerRunningRequest is how much each running request adds to the predicted
	// time to the first token.
	delayPerRunningRequest = 500 * time.Microsecond
)

func (s Settings) withDefaults() Settings {
	if s.MinLongPromptTokens <= 0 {
		s.MinLongPromptTokens = defaultMinLongPromptTokens
	}
	if s.InitialPrefillRate <= 0 {
		s.InitialPrefillRate = defaultInitialPrefillRate
	}

	return s
}
