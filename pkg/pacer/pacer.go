package pacer

import (
	"math"
	"time"
)

const (
	// maxSlowness limits every figure: no statement and no answer moves an estimate further than to a
	// hundredth or the hundredfold of the usual time.
	maxSlowness = 100
	// transientTime is the time constant with which a statement decays. An endpoint that is slow for
	// 600 ms is, at the age of its statement, still slow with a probability that falls to 0 within
	// 600 ms, which this approximates.
	transientTime = 300 * time.Millisecond
	// MaxStatementAge is the age from which a statement says nothing any more.
	MaxStatementAge = 5 * transientTime
	// usualPaceTime is the time constant of the pace that the endpoint usually states. It spans many
	// transient slow periods.
	usualPaceTime = 15 * time.Second
	// forgetTime is the time constant with which the lasting slowness returns to that of similar endpoints
	// while nothing is learned. An endpoint that was judged too slow is so tried again after some
	// minutes.
	forgetTime = 6 * time.Minute
	// lastingWeight is the weight of an answer in the slowness of similar endpoints once several were seen.
	// It averages over some 30 answers, a few seconds of an engine's work.
	lastingWeight = 0.03
	// maxFirstWeight limits the weight of the first answers, which may have waited for others.
	maxFirstWeight = 0.15
	// ownWeight and maxFirstOwnWeight are the same for the slowness of an endpoint beside that of similar
	// ones.
	ownWeight, maxFirstOwnWeight = 0.03, 0.15
	// errorWeight is the weight of an answer in the mean squared errors.
	errorWeight = 0.05
	// trustForgetting is by which part the sums behind the trust in statements decay with each answer. They
	// span some hundred answers, of which a sixth may come from slow moments.
	trustForgetting = 0.01
	// initialTrustWeight is how much the trust in statements before the first answer weighs: as much
	// as a few answers from moments of two and a half times the usual time.
	initialTrustWeight = 2
	// initialVariance is the squared error, as a logarithm, that is assumed at first.
	initialVariance = 0.25
)

// Like is the lasting slowness of similar endpoints: those of one service, data centre and version. An
// instance of a large fleet gets too few answers of one endpoint to learn from them alone. The zero
// value stands for endpoints of the usual speed.
type Like struct {
	log     float64 // as a logarithm
	answers int     // from which it was learned
	// covariance and transientSquare sum, with decay, the products of the errors without the statements
	// with the stated transient slowness and the squares of the latter: their ratio is how far
	// statements are believed.
	covariance, transientSquare float64
}

// Pacer is what is known of one endpoint.
type Pacer struct {
	like       *Like
	lastingLog float64 // lasting slowness beside that of similar endpoints, as a logarithm
	answers    int     // from which lastingLog was learned
	learnedAt  time.Time
	usualLog   float64   // pace that the endpoint usually states, as a logarithm
	statedLog  float64   // pace that it stated last, as a logarithm
	statedAt   time.Time // zero if it stated none
	variance   float64   // mean squared error of the expected time; 0 before the first answer
}

// Estimate is how long work is expected to take at an endpoint.
type Estimate struct {
	// Slowness is the expected time of work divided by the usual time, and Lasting the part of it
	// that does not come from the newest statement.
	Slowness, Lasting float64
	// Spread is the standard deviation of the logarithm of the true time to the expected one.
	Spread float64
	// IsKnown is false if nothing was stated or learned yet, so that the estimate is only a default.
	IsKnown bool
}

// New returns the state of an endpoint about which only the lasting slowness of similar endpoints is
// known.
func New(like *Like) Pacer {
	return Pacer{like: like}
}

// RecordStatement records the pace that the endpoint stated at the given time, in hundredths of
// the normal time. It reports whether this is news: a pace that is not positive, and one that is no
// newer than the last, are ignored.
func (p *Pacer) RecordStatement(at time.Time, pace int) bool {
	if pace <= 0 || !at.After(p.statedAt) {
		return false
	}
	if !p.statedAt.IsZero() {
		weight := 1 - math.Exp(-min(at.Sub(p.statedAt), MaxStatementAge).Seconds()/usualPaceTime.Seconds())
		shift := weight * (p.statedLog - p.usualLog)
		p.usualLog += shift
		// A pace that is always stated is a lasting one, also where no answers show it.
		p.lastingLog = limitedLog(p.lastingLog + p.like.trust()*shift)
	}
	p.statedLog, p.statedAt = clampedLog(float64(pace)/100), at

	return true
}

// Statement returns the newest pace that was stated, in hundredths of the normal time, and when; zero
// if there is none or it says nothing any more.
func (p *Pacer) Statement(now time.Time) (pace int, at time.Time) {
	if p.statedAt.IsZero() || now.Sub(p.statedAt) > MaxStatementAge {
		return 0, time.Time{}
	}

	return int(math.Round(100 * math.Exp(p.statedLog))), p.statedAt
}

// RecordAnswer records how long work took that was sent at the given time, and the time that it would
// usually have taken. The statement that counts is the newest one of the moment at which this
// is called, since it was made while the work ran.
func (p *Pacer) RecordAnswer(now time.Time, usual, taken time.Duration) {
	if usual <= 0 || taken <= 0 {
		return
	}
	p.relax(now)
	observed := clampedLog(float64(taken) / float64(usual))
	transient := p.transientLog(now)
	without := observed - p.like.log - p.lastingLog
	deviation := without - p.like.trust()*transient
	p.like.recordTransient(without, transient)
	if p.answers == 0 {
		p.variance = initialVariance
	}
	p.answers++
	p.variance += errorWeight * (min(deviation*deviation, 4) - p.variance)
	p.like.answers++
	p.like.log = limitedLog(p.like.log + max(lastingWeight, maxFirstWeight/float64(p.like.answers))*deviation)
	p.lastingLog += max(ownWeight, maxFirstOwnWeight/float64(p.answers)) * deviation
	p.lastingLog = limitedLog(p.lastingLog)
}

// relax moves the lasting slowness towards that of similar endpoints by the time since it was learned.
func (p *Pacer) relax(now time.Time) {
	if !p.learnedAt.IsZero() {
		p.lastingLog = p.relaxedLog(now)
	}
	p.learnedAt = now
}

// relaxedLog returns the lasting slowness now, as a logarithm.
func (p *Pacer) relaxedLog(now time.Time) float64 {
	if p.learnedAt.IsZero() {
		return p.lastingLog
	}

	return p.lastingLog * math.Exp(-max(0, now.Sub(p.learnedAt)).Seconds()/forgetTime.Seconds())
}

// limitedLog limits the logarithm of a slowness by maxSlowness.
func limitedLog(log float64) float64 {
	return min(math.Log(maxSlowness), max(-math.Log(maxSlowness), log))
}

// transientLog returns the transient slowness beside the usual pace, as a logarithm.
func (p *Pacer) transientLog(now time.Time) float64 {
	age := max(0, now.Sub(p.statedAt))
	if p.statedAt.IsZero() || age > MaxStatementAge {
		return 0
	}

	return (p.statedLog - p.usualLog) * math.Exp(-age.Seconds()/transientTime.Seconds())
}

// recordTransient records by how much an answer differed from what was expected without the statement,
// and the stated transient slowness, both as logarithms.
func (l *Like) recordTransient(deviation, transient float64) {
	l.covariance = (1-trustForgetting)*l.covariance + deviation*transient
	l.transientSquare = (1-trustForgetting)*l.transientSquare + transient*transient
}

// trust returns by how much of what statements say answers deviate: 1 if they are right, 0 if they say
// nothing.
func (l *Like) trust() float64 {
	return min(1, max(0, (initialTrustWeight+l.covariance)/(initialTrustWeight+l.transientSquare)))
}

// Estimate returns how long work is expected to take at the endpoint.
func (p *Pacer) Estimate(now time.Time) Estimate {
	lasting := p.like.log + p.relaxedLog(now)
	slowness := lasting + p.like.trust()*p.transientLog(now)
	variance := p.variance
	if p.answers == 0 {
		variance = initialVariance
	}

	return Estimate{
		Slowness: boundedExp(slowness), Lasting: boundedExp(lasting), Spread: math.Sqrt(variance),
		IsKnown: p.like.answers > 0 || !p.statedAt.IsZero(),
	}
}

// clampedLog returns the logarithm of a slowness, limited by maxSlowness.
func clampedLog(slowness float64) float64 {
	return math.Log(min(maxSlowness, max(1.0/maxSlowness, slowness)))
}

func boundedExp(log float64) float64 {
	return min(maxSlowness, max(1.0/maxSlowness, math.Exp(log)))
}
