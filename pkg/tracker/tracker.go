package tracker

import (
	"maps"
	"slices"
	"time"
)

// Default values of the Settings.
const (
	DefaultMinMissedExchanges = 3
	DefaultSuspicionTimeout   = 4 * time.Second
	DefaultRemovalTimeout     = time.Minute
)

const (
	// MaxMembers is the largest number of other instances kept as members.
	MaxMembers = 4096
	// MaxLivenessReports is the largest number of reports that LivenessReports returns
	// for an exchange.
	MaxLivenessReports = 64
)

// Settings holds the thresholds and timeouts of a Tracker.
type Settings struct {
	// MinMissedExchanges is the number of consecutive exchanges with a member
	// that must fail before it counts as unreachable. It is at least 2.
	MinMissedExchanges int
	// SuspicionTimeout is the time without an exchange with an unreachable
	// member, by this instance or a peer, after which the member is suspect.
	SuspicionTimeout time.Duration
	// RemovalTimeout is the time after which a member is removed if it is not on
	// the platform's list and no exchange with it is known.
	RemovalTimeout time.Duration
}

// WithDefaults returns the settings with zero durations, and a MinMissedExchanges
// below 2, replaced by the defaults.
func (s Settings) WithDefaults() Settings {
	if s.MinMissedExchanges < 2 {
		s.MinMissedExchanges = DefaultMinMissedExchanges
	}
	if s.SuspicionTimeout == 0 {
		s.SuspicionTimeout = DefaultSuspicionTimeout
	}
	if s.RemovalTimeout == 0 {
		s.RemovalTimeout = DefaultRemovalTimeout
	}
	return s
}

// Tracker keeps the members of the system as one instance sees them.
type Tracker struct {
	settings Settings
	self     Instance
	leaving  bool
	records  map[string]*memberRecord // the other instances, by name
	version  uint64
	members  []Member // all instances, in order of their names
}

// memberRecord holds what is known about another instance.
type memberRecord struct {
	instance         Instance
	incarnation      uint64
	listed           bool
	announcedLeaving bool // The instance said so itself; peers may pass it on.
	missedExchanges  int
	// lastExchange is the time of this instance's last exchange with it,
	// lastReported that of a peer's, both by this instance's clock.
	lastExchange, lastReported time.Time
	// listedAt is the time of the last list that named the instance or, if none
	// did, the time at which the record was created.
	listedAt time.Time
	suspect  bool
}

// New returns a Tracker whose only member is this instance.
func New(settings Settings, self Instance) *Tracker {
	t := &Tracker{settings: settings.WithDefaults(), self: self, records: make(map[string]*memberRecord)}
	t.refreshSelf()
	return t
}

// SetLeaving marks this instance as leaving.
func (t *Tracker) SetLeaving() {
	t.leaving = true
	t.refreshSelf()
}

// ApplyListing takes in the platform's list of instances. An empty list is ignored.
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
		record := t.getOrCreateRecord(now, instance.Name)
		if record == nil {
			continue
		}
		record.instance = instance
		record.listed = true
		record.listedAt = now
	}
	t.refreshAllMembers(now)
}

// getOrCreateRecord returns the record of an instance. It returns nil for an
// unknown instance if there are MaxMembers records already.
func (t *Tracker) getOrCreateRecord(now time.Time, name string) *memberRecord {
	existing, found := t.records[name]
	if found {
		return existing
	}
	if len(t.records) >= MaxMembers {
		return nil
	}
	created := &memberRecord{instance: Instance{Name: name}, listedAt: now}
	t.records[name] = created
	return created
}

// RecordExchange records an exchange that a peer started or answered, with whether the
// peer is leaving and its reports about other members. An exchange with an older
// incarnation is ignored until SuspicionTimeout after the newer one was last seen.
func (t *Tracker) RecordExchange(now time.Time, peer Instance, incarnation uint64, leaving bool, reports []LivenessReport) {
	if peer.Name == t.self.Name {
		return
	}
	record := t.getOrCreateRecord(now, peer.Name)
	if record == nil || incarnation < record.incarnation && now.Sub(record.lastSeen()) < t.settings.SuspicionTimeout {
		return
	}
	record.incarnation = incarnation
	record.announcedLeaving = leaving
	record.completeInstance(peer)
	record.lastExchange = now
	record.missedExchanges = 0
	changed := t.refreshMember(now, peer.Name)
	for _, report := range reports {
		t.applyLivenessReport(now, report)
		changed = t.refreshMember(now, report.Name) || changed
	}
	t.updateVersion(changed)
}

// completeInstance takes the instance's data from the peer itself while the
// platform does not list it. Only the list sets instance.Leaving.
func (r *memberRecord) completeInstance(peer Instance) {
	if r.listed {
		return
	}
	leaving := r.instance.Leaving
	r.instance = peer
	r.instance.Leaving = leaving
}

// applyLivenessReport takes in a peer's report about another member. Reports
// about unknown instances and older incarnations are ignored.
func (t *Tracker) applyLivenessReport(now time.Time, report LivenessReport) {
	record, found := t.records[report.Name]
	if !found || report.Incarnation < record.incarnation || report.Age < 0 {
		return
	}
	if report.Incarnation > record.incarnation {
		record.incarnation = report.Incarnation
		record.announcedLeaving = false
	}
	record.announcedLeaving = record.announcedLeaving || report.Leaving
	if seenAt := now.Add(-report.Age); seenAt.After(record.lastReported) {
		record.lastReported = seenAt
	}
}

// RecordMissedExchange records that an exchange with a peer failed.
func (t *Tracker) RecordMissedExchange(now time.Time, peer string) {
	if record, found := t.records[peer]; found {
		record.missedExchanges++
		t.updateVersion(t.refreshMember(now, peer))
	}
}

// Tick updates the members to the present time: unreachable ones may become
// suspect, and unlisted ones may be removed.
func (t *Tracker) Tick(now time.Time) { t.refreshAllMembers(now) }

// UnreachableMembers returns the names of the members whose last MinMissedExchanges
// exchanges with this instance failed, so that it can ask peers for reports about
// them.
func (t *Tracker) UnreachableMembers() []string {
	var names []string
	for name, record := range t.records {
		if record.missedExchanges >= t.settings.MinMissedExchanges {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// LivenessReports returns reports to send to a peer about the members with which this
// instance has had an exchange: first those that the peer requested, then the
// ones with the latest exchange, at most MaxLivenessReports in all.
func (t *Tracker) LivenessReports(now time.Time, requested []string) []LivenessReport {
	var reports []LivenessReport
	for name, record := range t.records {
		if !record.lastExchange.IsZero() {
			reports = append(reports, LivenessReport{
				Name: name, Incarnation: record.incarnation, Age: now.Sub(record.lastExchange), Leaving: record.announcedLeaving,
			})
		}
	}
	rank := func(report LivenessReport) time.Duration {
		if slices.Contains(requested, report.Name) {
			return 0
		}
		return report.Age + 1
	}
	slices.SortFunc(reports, func(a, b LivenessReport) int { return compareAgeThenName(rank(a), rank(b), a.Name, b.Name) })
	return reports[:min(len(reports), MaxLivenessReports)]
}

// Members returns all members, including this instance, in order of their names.
func (t *Tracker) Members() []Member { return slices.Clone(t.members) }

// LiveNames returns the sorted names of the live members. They include this instance
// unless it is leaving.
func (t *Tracker) LiveNames() []string {
	var names []string
	for _, member := range t.members {
		if member.State == Live {
			names = append(names, member.Name)
		}
	}
	return names
}

// Version returns a number that grows whenever the result of Members changes.
func (t *Tracker) Version() uint64 { return t.version }

// refreshAllMembers updates the members for all records.
func (t *Tracker) refreshAllMembers(now time.Time) {
	changed := false
	for _, name := range slices.Sorted(maps.Keys(t.records)) {
		changed = t.refreshMember(now, name) || changed
	}
	t.updateVersion(changed)
}

// updateVersion increments the version if the members changed.
func (t *Tracker) updateVersion(changed bool) {
	if changed {
		t.version++
	}
}
