package leaser_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/leaser"
)

const (
	dutyStep     = time.Second
	dutyDuration = 4 * dutyStep
)

// deviation is what goes wrong in a step of a dutyRun.
type deviation int

const (
	nothing deviation = iota
	firstStarts
	secondStarts
	firstReleases
	secondReleases
	firstSleeps // for two steps
	objectDeleted
	answersLost // of the calls in this step, which are executed
	writesLate  // executed two steps later, without an answer
	deviationCount
)

// dutyRun runs two instances that compete for a lease, with a token from the version.
type dutyRun struct {
	settings   leaser.Settings
	now        time.Time
	step       int
	revision   uint64
	stored     leaser.StoredLease
	leasers    [2]*leaser.Leaser
	starts     int
	ids        [2]string
	sleepUntil int
	late       map[int][]leaser.Write
	acts       []dutyAct
	fault      string
}

// dutyAct is a call under a term.
type dutyAct struct {
	name, id string
	fence    uint64
	at       time.Time
}

func (d *dutyRun) start(index int) {
	d.starts++
	settings := d.settings
	settings.HolderID = fmt.Sprint("start-", d.starts)
	if settings.HolderName != "" {
		settings.HolderName = fmt.Sprint("instance-", index)
	}
	d.ids[index], d.leasers[index] = settings.HolderID, leaser.New(settings)
}

// write executes a write if its condition holds.
func (d *dutyRun) write(write leaser.Write) bool {
	if write.Version != d.stored.Version {
		return false
	}
	d.revision++
	d.stored = leaser.StoredLease{Version: d.revision, Lease: write.Lease}

	return true
}

// perform makes the calls of an instance and those that follow.
func (d *dutyRun) perform(index int, actions []leaser.Action, what deviation) {
	l := d.leasers[index]
	for len(actions) > 0 {
		action := actions[0]
		actions = actions[1:]
		write, isWrite := action.(leaser.Write)
		switch {
		case !isWrite && what == answersLost:
			l.OnReadFailed(d.now)
		case !isWrite:
			actions = append(actions, l.OnRead(d.now, d.stored)...)
		case what == writesLate:
			d.late[d.step+2] = append(d.late[d.step+2], write)
			l.OnWriteFailed(d.now, write, true)
		case what == answersLost:
			d.write(write)
			l.OnWriteFailed(d.now, write, true)
		case d.write(write):
			l.OnWritten(d.now, write, d.stored.Version)
		default:
			actions = append(actions, l.OnWriteConflict(d.now, write, d.stored)...)
		}
	}
}

// advance runs one step.
func (d *dutyRun) advance(what deviation) {
	d.step++
	d.now = d.now.Add(dutyStep)
	for _, write := range d.late[d.step] {
		d.write(write)
	}
	switch what {
	case firstStarts, secondStarts:
		d.start(int(what - firstStarts))
	case firstReleases, secondReleases:
		index := int(what - firstReleases)
		d.perform(index, d.leasers[index].Release(d.now), nothing)
		d.start(index)
	case firstSleeps:
		d.sleepUntil = d.step + 2
	case objectDeleted:
		d.revision++
		d.stored = leaser.StoredLease{}
	case nothing, answersLost, writesLate, deviationCount:
	}
	for index, l := range d.leasers {
		if index == 0 && d.step < d.sleepUntil {
			continue
		}
		d.perform(index, l.Tick(d.now), what)
		if fence, _, held := l.Held(d.now); held {
			d.act(dutyAct{d.name(index), d.ids[index], fence, d.now})
		}
	}
}

func (d *dutyRun) name(index int) string { return fmt.Sprint("instance-", index) }

// act makes a call under a term and checks the rules.
func (d *dutyRun) act(act dutyAct) {
	other := time.Time{} // the last act of the other instance that came after one of this
	for i := len(d.acts) - 1; i >= 0 && d.fault == ""; i-- {
		earlier := d.acts[i]
		switch {
		case earlier.id != act.id && earlier.fence == act.fence:
			d.fault = "one token of two holders"
		case earlier.fence > act.fence:
			d.fault = "a lower token after a higher one"
		case earlier.name != act.name && other.IsZero():
			other = earlier.at
		case earlier.name == act.name && !other.IsZero() && act.at.Sub(earlier.at) < dutyDuration*9/10:
			d.fault = "a holder is back within the lease"
		}
	}
	d.acts = append(d.acts, act)
}

// explore plays all runs with up to so many deviations and returns their number and the first fault.
func explore(settings leaser.Settings, steps, deviations int) (runs, acts int, fault string) {
	var plan func(made map[int]deviation, from, left int)
	plan = func(made map[int]deviation, from, left int) {
		d := &dutyRun{settings: settings, now: start, late: map[int][]leaser.Write{}}
		d.start(0)
		d.start(1)
		for step := 1; step <= steps; step++ {
			d.advance(made[step])
		}
		runs, acts = runs+1, acts+len(d.acts)
		if d.fault != "" && fault == "" {
			fault = fmt.Sprint(d.fault, " with ", made)
		}
		for step := from; left > 0 && step <= steps && fault == ""; step++ {
			for what := nothing + 1; what < deviationCount; what++ {
				made[step] = what
				plan(made, step+1, left-1)
				delete(made, step)
			}
		}
	}
	plan(map[int]deviation{}, 1, deviations)

	return runs, acts, fault
}

func dutySettings() leaser.Settings {
	return leaser.Settings{
		Name: "l", Duration: dutyDuration, RenewInterval: dutyStep, PollInterval: dutyStep, RetryDelay: dutyStep, CallTimeout: dutyStep,
		FenceFromVersion: true, HolderName: "instance", WaitIfAbsent: true,
	}
}

// Guards against two holders with one token, holders that act in turns within the lease, and lower
// tokens after higher ones: all runs of 10 steps with up to three restarts, releases, suspensions,
// deletions, lost answers and late writes. Without each of the settings for duties, some run breaks
// a rule, which shows that the check would see it.
func TestEveryRunOfADutyKeepsTheRules(t *testing.T) {
	runs, acts, fault := explore(dutySettings(), 10, 3)
	t.Logf("%d runs, %d acts", runs, acts)
	assert.Equal(t, fault, "")
	for name, weaken := range map[string]func(*leaser.Settings){
		"token from the object alone":  func(s *leaser.Settings) { s.FenceFromVersion = false },
		"no wait for a missing object": func(s *leaser.Settings) { s.WaitIfAbsent = false },
		"no names of recent holders":   func(s *leaser.Settings) { s.HolderName = "" },
	} {
		settings := dutySettings()
		weaken(&settings)
		_, _, fault := explore(settings, 10, 3)
		t.Logf("%s: %s", name, fault)
		assert.Assert(t, fault != "", name)
	}
}
