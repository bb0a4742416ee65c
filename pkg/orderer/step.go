package orderer

import (
	"fmt"
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

// over returns the desired state with the fields that a change gives.
func (d DesiredState) over(change declarer.PlannedChange) DesiredState {
	if change.Model != "" && change.Model != d.Model {
		// Another model: version and adapter of the old one mean nothing.
		d = DesiredState{Model: change.Model, Role: d.Role}
	}
	for _, field := range []struct {
		to   *string
		from string
	}{{&d.Version, change.Version}, {&d.Adapter, change.Adapter}, {&d.Role, change.Role}} {
		if field.from != "" {
			*field.to = field.from
		}
	}
	return d
}

// on fills the empty fields with what the engine has, so that an order states
// the whole state. Another model begins without a version or an adapter.
func (d DesiredState) on(state EngineState) DesiredState {
	if d.Model == "" || d.Model == state.Model {
		d.Model = state.Model
		d.Version = either(d.Version, state.Version)
		d.Adapter = either(d.Adapter, state.Adapter)
	}
	d.Role = either(d.Role, state.Role)
	return d
}

func either(want, have string) string {
	if want == "" {
		return have
	}
	return want
}

// metBy reports whether an engine has the desired state, apart from loading.
func (d DesiredState) metBy(state EngineState) bool {
	return meets(d.Model, state.Model) && meets(d.Version, state.Version) &&
		meets(d.Adapter, state.Adapter) && meets(d.Role, state.Role)
}

func meets(want, have string) bool { return want == "" || want == have }

// loads reports whether an engine has to load weights for it.
func (d DesiredState) loads(state EngineState) bool {
	d.Role = ""
	return !d.metBy(state)
}

// upTo folds the endpoint's changes up to and including one.
func (o *Orderer) upTo(endpoint, change string) DesiredState {
	var desired DesiredState
	for _, name := range o.chains[endpoint] {
		desired = desired.over(o.set.Changes[name])
		if name == change {
			break
		}
	}
	return desired
}

// complete reports whether the endpoint is as the change orders, or already as
// a later one does.
func (o *Orderer) complete(endpoint, change string) bool {
	engine := o.engine(endpoint)
	chain := o.chains[endpoint]
	if o.set.Endpoints[endpoint].IsLeaving() {
		return true // It takes no new work, so there is nothing to change.
	}
	if engine.readAt.IsZero() || engine.state.Loading {
		return false
	}
	return slices.ContainsFunc(chain[slices.Index(chain, change):], func(later string) bool {
		return o.upTo(endpoint, later).metBy(engine.state)
	})
}

// advance counts how far a change is and starts its next steps.
func (o *Orderer) advance(now time.Time, change declarer.PlannedChange) []Action {
	progress := o.progress(now, change)
	if progress.Phase == PhaseDone {
		o.done[change.Name] = true
	}
	before, known := o.told[change.Name]
	if known && progress.Equal(before) {
		return nil
	}
	o.told[change.Name] = progress
	return []Action{ReportProgress{ChangeName: change.Name, Progress: progress}}
}

// Equal reports whether both say the same.
func (p Progress) Equal(other Progress) bool {
	return p.Phase == other.Phase && p.DoneEndpoints == other.DoneEndpoints && p.TotalEndpoints == other.TotalEndpoints &&
		p.Reason == other.Reason && slices.Equal(p.CurrentEndpoints, other.CurrentEndpoints)
}

func (o *Orderer) progress(now time.Time, change declarer.PlannedChange) Progress {
	progress := Progress{Phase: PhaseWaiting, TotalEndpoints: len(change.Endpoints)}
	if o.done[change.Name] {
		progress.Phase, progress.DoneEndpoints = PhaseDone, progress.TotalEndpoints
		return progress
	}
	if change.AfterChange != "" && !o.done[change.AfterChange] {
		progress.Reason = fmt.Sprintf("waits for PlannedChange %q", change.AfterChange)
		return progress
	}
	for _, endpoint := range change.Endpoints {
		if o.complete(endpoint, change.Name) {
			progress.DoneEndpoints++
		}
	}
	if progress.DoneEndpoints == progress.TotalEndpoints {
		progress.Phase = PhaseDone
		return progress
	}
	if !o.allRead(change) {
		progress.Reason = "reads the state of the endpoints"
		return progress
	}
	return o.start(now, change, progress)
}

// allRead reports whether every endpoint of the change was read under this
// lease. Until then steps that were begun by the last holder are not known.
func (o *Orderer) allRead(change declarer.PlannedChange) bool {
	return !slices.ContainsFunc(change.Endpoints, func(name string) bool {
		engine := o.engine(name)
		return engine.readAt.IsZero() && engine.reason == ""
	})
}

// start lets as many endpoints change at once as the change allows, in order.
func (o *Orderer) start(now time.Time, change declarer.PlannedChange, progress Progress) Progress {
	progress.Phase = PhaseRunning
	for _, begun := range []bool{true, false} {
		for _, endpoint := range change.Endpoints {
			engine := o.engine(endpoint)
			mine := engine.started == change.Name
			if o.complete(endpoint, change.Name) || mine != begun || len(progress.CurrentEndpoints) >= change.MaxParallel {
				continue
			}
			if !mine && change.Paused {
				continue
			}
			if !mine {
				engine.begin(now, change.Name)
			}
			progress.CurrentEndpoints = append(progress.CurrentEndpoints, endpoint)
		}
	}
	return o.judge(now, change, progress)
}

func (e *engine) begin(now time.Time, change string) {
	e.started, e.began = change, now
	e.tries = 0
	e.due = now
}

// judge tells a paused or stalled change from a running one.
func (o *Orderer) judge(now time.Time, change declarer.PlannedChange, progress Progress) Progress {
	if len(progress.CurrentEndpoints) == 0 {
		progress.Phase = PhasePaused
		return progress
	}
	for _, endpoint := range progress.CurrentEndpoints {
		if reason := o.stalled(now, change, endpoint); reason != "" {
			progress.Phase = PhaseStalled
			progress.Reason = fmt.Sprintf("%s: %s", endpoint, reason)
			return progress
		}
	}
	return progress
}

func (o *Orderer) stalled(now time.Time, change declarer.PlannedChange, endpoint string) string {
	engine := o.engine(endpoint)
	switch {
	case now.Sub(engine.began) >= change.EndpointTimeout.AsDuration():
		return fmt.Sprintf("not done within %s%s", change.EndpointTimeout, engine.because())
	case engine.tries >= MaximumTries && engine.reason != "":
		return fmt.Sprintf("%d orders failed%s", engine.tries, engine.because())
	default:
		return ""
	}
}

func (e *engine) because() string {
	if e.reason == "" {
		return ""
	}
	return ": " + e.reason
}
