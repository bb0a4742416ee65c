package tracker

import (
	"maps"
	"slices"
	"time"
)

// Defaults of the settings.
const (
	DefaultMisses  = 3
	DefaultSilence = 4 * time.Second
	DefaultGone    = time.Minute
)

const (
	// MaximumMembers is the largest number of members kept.
	MaximumMembers = 4096
	// MaxLivenessReports is the largest number of sightings in one exchange.
	MaxLivenessReports = 64
)

// Settings are the parameters of a Tracker.
type Settings struct {
	// Misses is the number of missed exchanges in a row before a member is
	// doubted; at least 2.
	Misses int
	// Silence is how long nobody must have heard a doubted member before it is
	// suspect.
	Silence time.Duration
	// Gone is how long a member that is not listed is kept unheard.
	Gone time.Duration
}

// WithDefaults returns the settings with zero values replaced.
func (s Settings) WithDefaults() Settings {
	if s.Misses < 2 {
		s.Misses = DefaultMisses
	}
	if s.Silence == 0 {
		s.Silence = DefaultSilence
	}
	if s.Gone == 0 {
		s.Gone = DefaultGone
	}
	return s
}

// Tracker is one instance's view of all instances.
type Tracker struct {
	settings Settings
	self     Instance
	leaving  bool
	records  map[string]*record
	version  uint64
	shown    []Member
}

// record is what is known of another instance.
type record struct {
	instance    Instance
	incarnation uint64
	listed      bool
	leaving     bool // By its own word.
	misses      int
	// heard is when we heard it, told when a peer did, both by our clock.
	heard, told time.Time
	// since is when the record was made or last listed.
	since   time.Time
	suspect bool
}

// New returns a tracker that knows only this instance.
func New(settings Settings, self Instance) *Tracker {
	t := &Tracker{settings: settings.WithDefaults(), self: self, records: make(map[string]*record)}
	t.showSelf()
	return t
}

// SetLeaving marks this instance as leaving.
func (t *Tracker) SetLeaving() {
	t.leaving = true
	t.showSelf()
}

// ApplyListing takes the platform's list. An empty list is not believed.
func (t *Tracker) ApplyListing(now time.Time, instances []Instance) {
	if len(instances) == 0 {
		return
	}
	for _, record := range t.records {
		record.listed = false
	}
	for _, instance := range instances {
		if instance.Name == t.self.Name {
			continue
		}
		record := t.record(now, instance.Name)
		if record == nil {
			continue
		}
		record.instance = instance
		record.listed = true
		record.since = now
	}
	t.update(now)
}

// record returns the record of an instance, a new one if there is room.
func (t *Tracker) record(now time.Time, name string) *record {
	known, found := t.records[name]
	if found {
		return known
	}
	if len(t.records) >= MaximumMembers {
		return nil
	}
	made := &record{instance: Instance{Name: name}, since: now}
	t.records[name] = made
	return made
}

// RecordExchange takes an exchange that a peer made or answered: it lives, whether it is
// leaving, and what it says of others. An older incarnation is ignored while
// the newer one was heard lately.
func (t *Tracker) RecordExchange(now time.Time, peer Instance, incarnation uint64, leaving bool, view []LivenessReport) {
	if peer.Name == t.self.Name {
		return
	}
	record := t.record(now, peer.Name)
	if record == nil || incarnation < record.incarnation && now.Sub(record.last()) < t.settings.Silence {
		return
	}
	record.incarnation = incarnation
	record.leaving = leaving
	record.fill(peer)
	record.heard = now
	record.misses = 0
	changed := t.refresh(now, peer.Name)
	for _, sighting := range view {
		t.hint(now, sighting)
		changed = t.refresh(now, sighting.Name) || changed
	}
	t.count(changed)
}

// fill completes what the list has not told yet.
func (r *record) fill(peer Instance) {
	if r.listed {
		return
	}
	leaving := r.instance.Leaving
	r.instance = peer
	r.instance.Leaving = leaving
}

// hint takes what a peer says about a member that we know.
func (t *Tracker) hint(now time.Time, sighting LivenessReport) {
	record, found := t.records[sighting.Name]
	if !found || sighting.Incarnation < record.incarnation || sighting.Age < 0 {
		return
	}
	if sighting.Incarnation > record.incarnation {
		record.incarnation = sighting.Incarnation
		record.leaving = false
	}
	record.leaving = record.leaving || sighting.Leaving
	if at := now.Add(-sighting.Age); at.After(record.told) {
		record.told = at
	}
}

// RecordMissedExchange takes note that an exchange with a peer failed.
func (t *Tracker) RecordMissedExchange(now time.Time, peer string) {
	if record, found := t.records[peer]; found {
		record.misses++
		t.count(t.refresh(now, peer))
	}
}

// Tick lets time pass: silent members become suspect, unlisted ones go.
func (t *Tracker) Tick(now time.Time) { t.update(now) }

// UnreachableMembers returns the members that missed several exchanges with us; ask other
// peers about them.
func (t *Tracker) UnreachableMembers() []string {
	var names []string
	for name, record := range t.records {
		if record.misses >= t.settings.Misses {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// LivenessReports returns what to tell a peer: those it asks about first, then the
// members that we heard last, at most MaximumView.
func (t *Tracker) LivenessReports(now time.Time, asked []string) []LivenessReport {
	var sightings []LivenessReport
	for name, record := range t.records {
		if !record.heard.IsZero() {
			sightings = append(sightings, LivenessReport{
				Name: name, Incarnation: record.incarnation, Age: now.Sub(record.heard), Leaving: record.leaving,
			})
		}
	}
	rank := func(s LivenessReport) time.Duration {
		if slices.Contains(asked, s.Name) {
			return 0
		}
		return s.Age + 1
	}
	slices.SortFunc(sightings, func(a, b LivenessReport) int { return compare(rank(a), rank(b), a.Name, b.Name) })
	return sightings[:min(len(sightings), MaxLivenessReports)]
}

// Members returns all members by name, this instance among them.
func (t *Tracker) Members() []Member { return slices.Clone(t.shown) }

// LiveNames returns the names of the live members, this instance among them unless
// it is leaving.
func (t *Tracker) LiveNames() []string {
	var names []string
	for _, member := range t.shown {
		if member.State == Live {
			names = append(names, member.Name)
		}
	}
	return names
}

// Version grows whenever Members changes.
func (t *Tracker) Version() uint64 { return t.version }

func (t *Tracker) update(now time.Time) {
	changed := false
	for _, name := range slices.Sorted(maps.Keys(t.records)) {
		changed = t.refresh(now, name) || changed
	}
	t.count(changed)
}

// count gives the members a new version if they changed.
func (t *Tracker) count(changed bool) {
	if changed {
		t.version++
	}
}
