package isolator

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// Verdict says whether a request may run.
type Verdict int

// The verdicts on a request.
const (
	// Allowed means that the request may run.
	Allowed Verdict = iota
	// Trial means that the request may run, to find out whether its blocks still crash
	// endpoints.
	Trial
	// Quarantined means that the request may not run.
	Quarantined
)

// Prompt is a request that was running on an endpoint when the endpoint crashed.
type Prompt struct {
	// Blocks are the IDs of the blocks that other requests may contain too.
	Blocks []uint64
	// HasBegun reports whether the endpoint had begun to answer the request.
	HasBegun bool
}

// Isolator stores at which crashes prompt blocks were present, and decides which requests
// may not run.
type Isolator struct {
	settings    Settings
	trialOffset time.Duration
	records     map[uint64]*Record // by block
	completed   *completions
	// causes are those that followed from the records when hasCauses was set.
	causes          []cause
	hasCauses       bool
	expiryCheckedAt time.Time
}

// New returns an Isolator without records. The instance's name decides how much later
// than due the instance makes a trial.
func New(settings Settings, instance string) *Isolator {
	offset := time.Duration(0)
	if settings.TrialSpread > 0 {
		offset = time.Duration(hashOf(instance) % uint64(settings.TrialSpread))
	}

	return &Isolator{
		settings:    settings,
		trialOffset: offset,
		records:     map[uint64]*Record{},
		completed:   newCompletions(settings.MaxCompletedBlocks),
	}
}

func hashOf(text string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text))

	return hash.Sum64()
}

// RecordCrash records that the named endpoint crashed at a time, and the requests of this
// instance that were running there. Other instances may record the same crash.
func (i *Isolator) RecordCrash(now, at time.Time, endpoint string, prompts []Prompt) {
	for _, prompt := range prompts {
		crash := Crash{EndpointID: hashOf(endpoint), At: at, HasBegun: prompt.HasBegun}
		blocks := slices.Compact(slices.Sorted(slices.Values(prompt.Blocks)))
		for _, block := range blocks {
			companions := slices.DeleteFunc(slices.Clone(blocks), func(other uint64) bool { return other == block })
			i.getOrAddRecord(now, block).addCrash(crash, companions[:min(len(companions), maxCompanions)])
		}
	}
	i.hasCauses = false
}

// RecordCompletion records that a request with the blocks ran to completion.
func (i *Isolator) RecordCompletion(now time.Time, blocks []uint64) {
	for _, block := range blocks {
		i.completed.record(block, now)
		if r, ok := i.records[block]; ok && len(r.Crashes) > 0 {
			r.clearUpTo(now)
			i.hasCauses = false
		}
	}
}

// Decide decides whether a request that is about to run may do so. A request for which
// it returns Trial must run.
func (i *Isolator) Decide(now time.Time, blocks []uint64) Verdict {
	verdict := Allowed
	for _, c := range i.currentCauses(now) {
		if !c.isIn(blocks) {
			continue
		}
		if now.Before(i.trialDueAt(c.record)) {
			c.record.LastRefusedAt = now

			return Quarantined
		}
		verdict = Trial
	}
	if verdict == Trial {
		i.recordTrial(now, blocks)
	}

	return verdict
}

// recordTrial records a trial of all causes that are in a prompt.
func (i *Isolator) recordTrial(now time.Time, blocks []uint64) {
	for _, c := range i.currentCauses(now) {
		if !c.isIn(blocks) {
			continue
		}
		c.record.LastTrialAt = now
		c.record.Trials++
	}
}

// MayRepeat reports whether a request may be sent to another endpoint after the one that
// had not begun to answer it crashed. It may not if one of its blocks was at a crash and is
// not known to have completed.
func (i *Isolator) MayRepeat(blocks []uint64) bool {
	return !slices.ContainsFunc(blocks, func(block uint64) bool {
		r, ok := i.records[block]

		return ok && len(r.Crashes) > 0 && r.LastCompletedAt.IsZero()
	})
}

// maxDelayDoublings limits the growth of the delay between trials.
const maxDelayDoublings = 6

// trialDueAt returns when this instance may next allow a request with a cause as a trial.
func (i *Isolator) trialDueAt(r *Record) time.Time {
	delay := i.settings.TrialDelay << min(r.Trials, maxDelayDoublings)
	isCertain := len(r.Crashes) >= i.settings.CertainCrashes && !r.hasBegun()
	switch {
	case isCertain || r.FailedTrials >= i.settings.MaxFailedTrials:
		delay = i.settings.LateTrialDelay
	case r.Trials == 0 && r.hasBegun():
		delay = i.settings.DoubtfulTrialDelay
	case r.Trials == 0:
		delay = i.settings.FirstTrialDelay
	}

	return laterOf(r.latestCrashAt(), r.LastTrialAt).Add(delay + i.trialOffset)
}

// IsEmpty reports whether there are no records.
func (i *Isolator) IsEmpty() bool {
	return len(i.records) == 0
}

// Causes returns the blocks that are in quarantine, each with those that may be the cause
// in its place.
func (i *Isolator) Causes(now time.Time) [][]uint64 {
	causes := i.currentCauses(now)
	blocks := make([][]uint64, 0, len(causes))
	for _, c := range causes {
		blocks = append(blocks, c.blocks)
	}

	return blocks
}

// currentCauses returns the causes that follow from the records that have not expired.
func (i *Isolator) currentCauses(now time.Time) []cause {
	if len(i.records) == 0 {
		return nil
	}
	if now.Sub(i.expiryCheckedAt) >= expiryCheckInterval {
		i.removeExpired(now)
	}
	if !i.hasCauses {
		hasCompleted := func(block uint64) bool { return !i.completed.latest(now, block).IsZero() }
		i.causes, i.hasCauses = findCauses(i.records, hasCompleted), true
	}

	return i.causes
}

// expiryCheckInterval is the least time between two searches for expired records.
const expiryCheckInterval = time.Second

// removeExpired removes the records that have expired.
func (i *Isolator) removeExpired(now time.Time) {
	i.expiryCheckedAt = now
	for block, r := range i.records {
		if i.isExpired(now, r) {
			delete(i.records, block)
			i.hasCauses = false
		}
	}
}

// isCause reports whether a record is a cause's.
func (i *Isolator) isCause(r *Record) bool {
	return slices.ContainsFunc(i.causes, func(c cause) bool { return c.record.Block == r.Block })
}

// isExpired reports whether the latest news of a record is too old.
func (i *Isolator) isExpired(now time.Time, r *Record) bool {
	ttl := i.settings.RecordTTL
	switch {
	case i.isCause(r):
		ttl = i.settings.CauseTTL
	case len(r.Crashes) == 0:
		ttl = sharedAge
	}

	return !now.Before(r.latestNewsAt().Add(ttl))
}

// sharedAge is the age of a record's latest news up to which the record is sent to other
// instances, unless it is a cause's.
const sharedAge = 10 * time.Second

// RecordsToShare returns the records to send to other instances: first those of causes,
// then those with the latest events, and at most Settings.MaxSharedRecords.
func (i *Isolator) RecordsToShare(now time.Time) []Record {
	return i.selectRecords(now, func(r *Record) bool { return i.isCause(r) || now.Sub(r.latestNewsAt()) < sharedAge })
}

// RecentRecords returns those of the records to share that have news of at most the given age.
func (i *Isolator) RecentRecords(now time.Time, maxAge time.Duration) []Record {
	return i.selectRecords(now, func(r *Record) bool { return now.Sub(r.latestNewsAt()) < min(maxAge, sharedAge) })
}

// selectRecords returns copies of the most important records that are to be shared.
func (i *Isolator) selectRecords(now time.Time, isShared func(*Record) bool) []Record {
	if len(i.records) == 0 {
		return nil
	}
	i.currentCauses(now)
	var shared []*Record
	for _, r := range i.records {
		if isShared(r) {
			shared = append(shared, r)
		}
	}
	slices.SortFunc(shared, func(a, b *Record) int { return i.compareImportance(b, a) })
	copied := make([]Record, 0, min(len(shared), i.settings.MaxSharedRecords))
	for _, r := range shared[:cap(copied)] {
		copied = append(copied, r.clone())
	}

	return copied
}

// CauseRecords returns the records of the causes, in the order of their blocks.
func (i *Isolator) CauseRecords(now time.Time) []Record {
	causes := i.currentCauses(now)
	records := make([]Record, 0, len(causes))
	for _, c := range causes {
		records = append(records, c.record.clone())
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Block, b.Block) })

	return records
}

// maxClockError is how far in the future the events of another instance's record may be.
const maxClockError = 30 * time.Second

// Merge adds the records of another instance. It adds this instance's completions of the
// same blocks to them, so that the other instances learn of these too.
func (i *Isolator) Merge(now time.Time, records []Record) {
	for _, other := range records {
		if other.latestEventAt().Sub(now) > maxClockError || !now.Before(other.latestEventAt().Add(i.settings.CauseTTL)) {
			continue
		}
		if known, ok := i.records[other.Block]; (!ok || i.isExpired(now, known)) && len(other.Crashes) == 0 {
			continue
		}
		slices.SortFunc(other.Crashes, Crash.compare)
		slices.Sort(other.Companions)
		if i.getOrAddRecord(now, other.Block).merge(other) {
			i.hasCauses = false
		}
	}
}

// getOrAddRecord returns the record of a block, and adds one if there is none. It evicts
// another record if there are Settings.MaxRecords already.
func (i *Isolator) getOrAddRecord(now time.Time, block uint64) *Record {
	if r, ok := i.records[block]; ok && !i.isExpired(now, r) {
		return r
	}
	delete(i.records, block)
	if len(i.records) >= i.settings.MaxRecords {
		i.evictRecord(now)
	}
	r := &Record{Block: block, LastCompletedAt: i.completed.latest(now, block), addedAt: now}
	i.records[block] = r

	return r
}

// evictRecord removes the least important record.
func (i *Isolator) evictRecord(now time.Time) {
	i.currentCauses(now)
	var evicted *Record
	for _, r := range i.records {
		if evicted == nil || i.compareImportance(r, evicted) < 0 {
			evicted = r
		}
	}
	if evicted != nil {
		delete(i.records, evicted.Block)
		i.hasCauses = false
	}
}

// compareImportance orders records from least to most important: causes are more important
// than others, then those with later events.
func (i *Isolator) compareImportance(a, b *Record) int {
	rank := func(r *Record) int {
		if i.isCause(r) {
			return 1
		}

		return 0
	}

	return cmp.Or(
		cmp.Compare(rank(a), rank(b)),
		a.latestEventAt().Compare(b.latestEventAt()),
		cmp.Compare(a.Block, b.Block),
	)
}
