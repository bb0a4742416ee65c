package sharer

import "time"

// Settings configure a Sharer.
type Settings struct {
	// Weights are the workspaces' weights in the fair shares; a workspace without one has weight 1.
	Weights map[string]float64
}

const (
	// rateTimeConstant is the time constant with which past demand and service are forgotten.
	rateTimeConstant = time.Second
	// freeFraction is the queue at the best endpoint, as a fraction of the target time to the first
	// token, up to which places count as free.
	freeFraction = 0.1
	// shortFraction is the queue from which capacity counts as short and is shared.
	shortFraction = 0.3
	// aimedFraction is the queue that the shares aim at: long enough that engines do not run out
	// of work before news of that reaches all instances.
	aimedFraction = 0.45
	// minGain and maxGain limit how far the shares exceed or fall below the rate of service.
	minGain, maxGain = 0.6, 1.4
	// newLimit and returnedLimit are the expected times to the first token, as fractions of the
	// target, up to which a new request and one that waited its time are admitted.
	newLimit, returnedLimit = 0.8, 0.95
	// shortageMemory is how long after the last sign of a shortage claims are sent.
	shortageMemory = 3 * time.Second
	// claimTTL is how long a peer's claims are valid. In a large data centre every instance receives
	// a message from every other within three seconds.
	claimTTL = 4 * time.Second
	// isolatedTTL is how long an instance that receives no claims uses its equal share of the capacity
	// that it last knew.
	isolatedTTL = 10 * time.Second
	// learningTime is how long an instance that has received no claims yet applies no shares.
	learningTime = 2 * time.Second
	// maxClaims is the number of claims in a message, some 500 bytes, so that most
	// messages still fit in a datagram. The smallest are combined.
	maxClaims = 16
	// burst is how much unused share a workspace may save, as time.
	burst = 200 * time.Millisecond
	// promiseTimeConstant is the time constant with which promises to requests that were told to
	// come back are forgotten. Most callers' deadlines are some seconds.
	promiseTimeConstant = 5 * time.Second
	// returnPeriod is the time over which returns are spread, and returnWindow that within which a
	// request that comes at its time is recognized at any instance.
	returnPeriod, returnWindow = time.Second, 60 * time.Millisecond
	// minRetryAfter is the shortest time to return, about that in which peers hear of a change.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter is the longest time to return. What is predicted for later is not reliable.
	maxRetryAfter = 10 * time.Second
	// returnGrace is how early a request may come back, as clocks and links are not exact.
	returnGrace = 20 * time.Millisecond
	// returnMemory is how long after its time to return a request is still recognized.
	returnMemory = 3 * time.Second
	// maxReturns is the number of refused requests that are remembered, some 5 MB.
	maxReturns = 32768
	// errorSmoothingFactor is the weight of a new observation in the error of the expected time.
	errorSmoothingFactor = 0.1
	// maxCorrection limits by how much the expected time is corrected.
	maxCorrection = 3.0
	// minErrorFraction is the shortest predicted time, as a fraction of the target, from whose error the
	// correction is learned. Shorter ones consist of overheads mostly.
	minErrorFraction = 0.25
	// errorTimeConstant is the time constant with which the correction is forgotten without new observations.
	errorTimeConstant = 10 * time.Second
	// higherShortFraction is the unserved part of the demand of higher tiers from which a tier gets
	// only what is free.
	higherShortFraction = 0.1
	// idleTime is how long a workspace without requests is remembered.
	idleTime = 10 * time.Second
	// sharesInterval is how long computed shares are used. Demand changes slowly compared to it.
	sharesInterval = 50 * time.Millisecond
)
