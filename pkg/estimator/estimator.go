package estimator

import (
	"container/list"
	"time"
)

const (
	// support is the number of own answers at which a group counts as much
	// as the wider one.
	support = 8
	// outlived is the number of answers that one which has outlived all
	// others is worth; it is expected to double.
	outlived = 0.5
	// levels is the number of groups of an answer, narrow to wide.
	levels = 4
)

// Key names the group of requests that an answer belongs to.
type Key struct {
	Workspace string
	Class     string
	Model     string
}

// groups returns the key's groups, narrow to wide.
func (k Key) groups() [levels]Key {
	return [levels]Key{k, {Class: k.Class, Model: k.Model}, {Model: k.Model}, {}}
}

// Estimate is what an answer is expected to take.
type Estimate struct {
	// TokensToReserve is what to reserve: the quantile of the settings.
	TokensToReserve int
	// Mean is the expected number of tokens.
	Mean int
}

// atMost returns the estimate bounded by the most tokens; zero or less is no
// bound.
func (e Estimate) atMost(most int) Estimate {
	if most <= 0 {
		return e
	}

	return Estimate{TokensToReserve: min(e.TokensToReserve, most), Mean: min(e.Mean, most)}
}

// Estimator keeps decayed length distributions per key and wider group.
type Estimator struct {
	settings Settings
	// perAnswer is the doublings of weight with each answer of a group.
	perAnswer float64
	groups    map[Key]*list.Element
	recent    *list.List // of *groupSketch, the most recently used first
	// latest is the time of the newest answer. Sketches fade up to then: what
	// was learned stays while nothing newer comes in.
	latest time.Time
}

// groupSketch is a group's key and sketch.
type groupSketch struct {
	key    Key
	sketch sketch
}

// New returns an estimator; fields of settings that are zero take their
// default.
func New(settings Settings) *Estimator {
	settings = settings.withDefaults()

	return &Estimator{
		settings:  settings,
		perAnswer: settings.perAnswer(),
		groups:    map[Key]*list.Element{},
		recent:    list.New(),
	}
}

// Keys returns the number of groups that are remembered.
func (e *Estimator) Keys() int {
	return len(e.groups)
}

// Observe records that an answer of the key took tokens.
func (e *Estimator) Observe(now time.Time, key Key, tokens int) {
	if now.After(e.latest) {
		e.latest = now
	}
	for _, group := range key.groups() {
		e.group(group).sketch.observe(now, e.settings.HalfLife, e.perAnswer, tokens)
	}
	for len(e.groups) > e.settings.Keys {
		oldest := e.recent.Back()
		e.recent.Remove(oldest)
		delete(e.groups, oldest.Value.(*groupSketch).key)
	}
}

// Estimate returns what an answer of the key is expected to take, never above
// limit when limit is positive. It changes only with what was observed, not
// with the time.
func (e *Estimator) Estimate(_ time.Time, key Key, limit int) Estimate {
	d, _ := e.distribution(key)

	return Estimate{
		TokensToReserve: round(d.quantile(e.settings.Quantile, 0)),
		Mean:            round(d.mean(0)),
	}.atMost(limit)
}

// Remaining returns what is still to come of an answer that has already made
// tokens: at least one, unless it has made its limit.
func (e *Estimator) Remaining(_ time.Time, key Key, limit, made int) Estimate {
	if limit > 0 && made >= limit {
		return Estimate{}
	}
	made = max(made, 0)
	whole, seen := e.distribution(key)
	d := whole.beyond(made)
	d[bucket(2*made)] += outlived / (seen + outlived)
	left := Estimate{
		TokensToReserve: max(1, round(d.quantile(e.settings.Quantile, made))-made),
		Mean:            max(1, round(d.mean(made))-made),
	}

	return left.atMost(limit - made)
}

// group returns the key's group, created if need be, as the most recently
// used.
func (e *Estimator) group(key Key) *groupSketch {
	if element, ok := e.groups[key]; ok {
		e.recent.MoveToFront(element)

		return element.Value.(*groupSketch)
	}
	created := &groupSketch{key: key}
	e.groups[key] = e.recent.PushFront(created)

	return created
}

// distribution mixes the key's groups, each by what it has seen, and returns
// how many answers the mix is worth.
func (e *Estimator) distribution(key Key) (distribution, float64) {
	var d distribution
	left, worth := 1.0, 0.0
	for _, group := range key.groups() {
		element, ok := e.groups[group]
		if !ok {
			continue
		}
		e.recent.MoveToFront(element)
		s := &element.Value.(*groupSketch).sketch
		seen := s.seen(e.latest, e.settings.HalfLife)
		share := left * seen / (seen + support)
		d.add(s, share)
		left -= share
		worth = max(worth, seen)
	}
	d[bucket(e.settings.Prior)] += left

	return d, worth
}
