package estimator

import (
	"container/list"
	"time"
)

const (
	// widerGroupWeight is the weight, in answers, of the wider groups: a group with
	// this many effective answers contributes as much as all wider ones together.
	widerGroupWeight = 8
	// doublingWeight is the weight, in answers, of the assumption that a streaming
	// answer reaches twice its current length. It decides the estimate of an
	// answer that is already longer than all observed ones.
	doublingWeight = 0.5
	// groupLevels is the number of groups to which each answer belongs.
	groupLevels = 4
)

// Key identifies a group of answers. An empty field stands for all its values.
type Key struct {
	Workspace string
	Class     string
	Model     string
}

// groups returns the groups to which answers of the key belong, from the narrowest
// to all answers.
func (k Key) groups() [groupLevels]Key {
	return [groupLevels]Key{k, {Class: k.Class, Model: k.Model}, {Model: k.Model}, {}}
}

// Estimate is an estimated number of tokens of an answer.
type Estimate struct {
	// TokensToReserve is the Settings.Quantile of the number of tokens.
	TokensToReserve int
	// MeanTokens is the mean of the number of tokens.
	MeanTokens int
}

// limitedTo returns the estimate with both numbers limited to maxTokens. A
// maxTokens of zero or less means no limit.
func (e Estimate) limitedTo(maxTokens int) Estimate {
	if maxTokens <= 0 {
		return e
	}

	return Estimate{TokensToReserve: min(e.TokensToReserve, maxTokens), MeanTokens: min(e.MeanTokens, maxTokens)}
}

// Estimator keeps a distribution of answer lengths, in which older answers count
// less, for each key and its wider groups.
type Estimator struct {
	settings           Settings
	doublingsPerAnswer float64
	groups             map[Key]*list.Element
	groupsByLastUse    *list.List // of *groupSketch, most recently used first
	// lastAnswerAt is the time of the newest answer. Weights decay up to this time
	// and not to the present, so that estimates stay as they are while no answers
	// finish.
	lastAnswerAt time.Time
}

// groupSketch holds the key and the sketch of a group.
type groupSketch struct {
	key    Key
	sketch sketch
}

// New returns an Estimator without answers. Fields of settings that are zero or out
// of range take their default.
func New(settings Settings) *Estimator {
	settings = settings.withDefaults()

	return &Estimator{
		settings:           settings,
		doublingsPerAnswer: settings.doublingsPerAnswer(),
		groups:             map[Key]*list.Element{},
		groupsByLastUse:    list.New(),
	}
}

// GroupCount returns the number of groups for which a sketch is kept.
func (e *Estimator) GroupCount() int {
	return len(e.groups)
}

// Observe records the length, in tokens, of an answer of the key that finished now.
func (e *Estimator) Observe(now time.Time, key Key, tokens int) {
	if now.After(e.lastAnswerAt) {
		e.lastAnswerAt = now
	}
	for _, group := range key.groups() {
		e.getOrCreateGroup(group).sketch.observe(now, e.settings.HalfLife, e.doublingsPerAnswer, tokens)
	}
	for len(e.groups) > e.settings.MaxGroups {
		leastUsed := e.groupsByLastUse.Back()
		e.groupsByLastUse.Remove(leastUsed)
		delete(e.groups, leastUsed.Value.(*groupSketch).key)
	}
}

// Estimate returns the estimated length of a new answer of the key. If limit is
// positive, the estimate does not exceed it. The result changes only with the
// observed answers, not with the time.
func (e *Estimator) Estimate(_ time.Time, key Key, limit int) Estimate {
	d, _ := e.mixGroups(key)

	return Estimate{
		TokensToReserve: roundUp(d.quantile(e.settings.Quantile, 0)),
		MeanTokens:      roundUp(d.mean(0)),
	}.limitedTo(limit)
}

// Remaining returns how many tokens are estimated to be still to come of an answer
// of which the given number was generated. It is at least one, or zero if a
// positive limit is reached.
func (e *Estimator) Remaining(_ time.Time, key Key, limit, generated int) Estimate {
	if limit > 0 && generated >= limit {
		return Estimate{}
	}
	generated = max(generated, 0)
	lengths, answers := e.mixGroups(key)
	d := lengths.longerThan(generated)
	d[bucketOf(2*generated)] += doublingWeight / (answers + doublingWeight)
	remaining := Estimate{
		TokensToReserve: max(1, roundUp(d.quantile(e.settings.Quantile, generated))-generated),
		MeanTokens:      max(1, roundUp(d.mean(generated))-generated),
	}

	return remaining.limitedTo(limit - generated)
}

// getOrCreateGroup returns the group of the key, created if it is missing, and
// marks it as the most recently used.
func (e *Estimator) getOrCreateGroup(key Key) *groupSketch {
	if element, ok := e.groups[key]; ok {
		e.groupsByLastUse.MoveToFront(element)

		return element.Value.(*groupSketch)
	}
	created := &groupSketch{key: key}
	e.groups[key] = e.groupsByLastUse.PushFront(created)

	return created
}

// mixGroups returns the distribution of lengths for a key and the largest effective
// number of answers of its groups. From narrow to wide, each group takes a fraction
// of what is unassigned that grows with its answers; PriorTokens takes the rest.
func (e *Estimator) mixGroups(key Key) (distribution, float64) {
	var d distribution
	unassigned, maxAnswers := 1.0, 0.0
	for _, group := range key.groups() {
		element, ok := e.groups[group]
		if !ok {
			continue
		}
		e.groupsByLastUse.MoveToFront(element)
		s := &element.Value.(*groupSketch).sketch
		answers := s.effectiveAnswers(e.lastAnswerAt, e.settings.HalfLife)
		fraction := unassigned * answers / (answers + widerGroupWeight)
		d.mixIn(s, fraction)
		unassigned -= fraction
		maxAnswers = max(maxAnswers, answers)
	}
	d[bucketOf(e.settings.PriorTokens)] += unassigned

	return d, maxAnswers
}
