package orderer

import (
	"fmt"
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

// withChange returns the desired state with the fields replaced that a change sets.
func (d DesiredState) withChange(change declarer.PlannedChange) DesiredState {
	if change.Model != "" && change.Model != d.Model {
		// The version and the adapter of the previous model do not apply to another one.
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

// filledFrom returns the desired state with its empty fields filled from the engine's
// state, so that an order states the whole state. If the model changes, an empty version
// and adapter stay empty.
func (d DesiredState) filledFrom(state EngineState) DesiredState {
	if d.Model == "" || d.Model == state.Model {
		d.Model = state.Model
		d.Version = valueOrDefault(d.Version, state.Version)
		d.Adapter = valueOrDefault(d.Adapter, state.Adapter)
	}
	d.Role = valueOrDefault(d.Role, state.Role)
	return d
}

func valueOrDefault(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}

// isMetBy reports whether an engine has the desired state. It may still be loading it.
func (d DesiredState) isMetBy(state EngineState) bool {
	return matchesField(d.Model, state.Model) && matchesField(d.Version, state.Version) &&
		matchesField(d.Adapter, state.Adapter) && matchesField(d.Role, state.Role)
}

// matchesField reports whether one field has its desired value; an empty one allows any.
func matchesField(desired, actual string) bool { return desired == "" || desired == actual }

// needsLoad reports whether an engine has to load weights to reach the desired state.
func (d DesiredState) needsLoad(state EngineState) bool {
	d.Role = ""
	return !d.isMetBy(state)
}

// desiredAfterChange returns the endpoint's desired state once its changes up to and
// including the given one are applied.
func (o *Orderer) desiredAfterChange(endpoint, change string) DesiredState {
	var desired DesiredState
	for _, name := range o.changesByEndpoint[endpoint] {
		desired = desired.withChange(o.resources.Changes[name])
		if name == change {
			break
		}
	}
	return desired
}

// isComplete reports whether the endpoint has the desired state of the change or of a
// later one.
func (o *Orderer) isComplete(endpoint, change string) bool {
	engine := o.engine(endpoint)
	changes := o.changesByEndpoint[endpoint]
	if o.resources.Endpoints[endpoint].IsLeaving() {
		return true // It takes no new work, so there is nothing to change.
	}
	if engine.stateReadAt.IsZero() || engine.state.Loading {
		return false
	}
	return slices.ContainsFunc(changes[slices.Index(changes, change):], func(later string) bool {
		return o.desiredAfterChange(endpoint, later).isMetBy(engine.state)
	})
}

// advanceChange updates the progress of a change, starts it on the next endpoints and
// returns a report if the progress has changed.
func (o *Orderer) advanceChange(now time.Time, change declarer.PlannedChange) []Action {
	progress := o.updateProgress(now, change)
	if progress.Phase == PhaseDone {
		o.doneChanges[change.Name] = true
	}
	reported, wasReported := o.reportedProgress[change.Name]
	if wasReported && progress.Equal(reported) {
		return nil
	}
	o.reportedProgress[change.Name] = progress
	return []Action{ReportProgress{ChangeName: change.Name, Progress: progress}}
}

// Equal reports whether both have the same values in all fields.
func (p Progress) Equal(other Progress) bool {
	return p.Phase == other.Phase && p.DoneEndpoints == other.DoneEndpoints && p.TotalEndpoints == other.TotalEndpoints &&
		p.Reason == other.Reason && slices.Equal(p.CurrentEndpoints, other.CurrentEndpoints)
}

// updateProgress returns the progress of a change, after starting it on the next
// endpoints if its predecessor is done and the endpoints' states are known.
func (o *Orderer) updateProgress(now time.Time, change declarer.PlannedChange) Progress {
	progress := Progress{Phase: PhaseWaiting, TotalEndpoints: len(change.Endpoints)}
	if o.doneChanges[change.Name] {
		progress.Phase, progress.DoneEndpoints = PhaseDone, progress.TotalEndpoints
		return progress
	}
	if change.AfterChange != "" && !o.doneChanges[change.AfterChange] {
		progress.Reason = fmt.Sprintf("waits for PlannedChange %q", change.AfterChange)
		return progress
	}
	for _, endpoint := range change.Endpoints {
		if o.isComplete(endpoint, change.Name) {
			progress.DoneEndpoints++
		}
	}
	if progress.DoneEndpoints == progress.TotalEndpoints {
		progress.Phase = PhaseDone
		return progress
	}
	if !o.areStatesKnown(change) {
		progress.Reason = "reads the state of the endpoints"
		return progress
	}
	return o.startEndpoints(now, change, progress)
}

// areStatesKnown reports whether a read of every endpoint of the change has succeeded or
// failed under this lease. Until then it is not known which endpoints the last holder
// had started.
func (o *Orderer) areStatesKnown(change declarer.PlannedChange) bool {
	return !slices.ContainsFunc(change.Endpoints, func(name string) bool {
		engine := o.engine(name)
		return engine.stateReadAt.IsZero() && engine.lastFailure == ""
	})
}

// startEndpoints starts the change on its endpoints in order, as many at once as it allows,
// counting those in progress first. A paused change starts no further endpoints.
func (o *Orderer) startEndpoints(now time.Time, change declarer.PlannedChange, progress Progress) Progress {
	progress.Phase = PhaseRunning
	for _, inProgress := range []bool{true, false} {
		for _, endpoint := range change.Endpoints {
			engine := o.engine(endpoint)
			isStarted := engine.currentChange == change.Name
			if o.isComplete(endpoint, change.Name) || isStarted != inProgress || len(progress.CurrentEndpoints) >= change.MaxParallel {
				continue
			}
			if !isStarted && change.Paused {
				continue
			}
			if !isStarted {
				engine.startChange(now, change.Name)
			}
			progress.CurrentEndpoints = append(progress.CurrentEndpoints, endpoint)
		}
	}
	return o.withPhase(now, change, progress)
}

// startChange makes a change the current one of the endpoint and its next read due now.
func (e *engine) startChange(now time.Time, change string) {
	e.currentChange, e.changeStartedAt = change, now
	e.orderAttempts = 0
	e.nextReadAt = now
}

// withPhase returns the progress with the phase set to paused or stalled if the change
// no longer runs.
func (o *Orderer) withPhase(now time.Time, change declarer.PlannedChange, progress Progress) Progress {
	if len(progress.CurrentEndpoints) == 0 {
		progress.Phase = PhasePaused
		return progress
	}
	for _, endpoint := range progress.CurrentEndpoints {
		if reason := o.stallReason(now, change, endpoint); reason != "" {
			progress.Phase = PhaseStalled
			progress.Reason = fmt.Sprintf("%s: %s", endpoint, reason)
			return progress
		}
	}
	return progress
}

// stallReason returns why the change is stalled on the endpoint, or an empty string if it
// is not.
func (o *Orderer) stallReason(now time.Time, change declarer.PlannedChange, endpoint string) string {
	engine := o.engine(endpoint)
	switch {
	case now.Sub(engine.changeStartedAt) >= change.EndpointTimeout.AsDuration():
		return fmt.Sprintf("not done within %s%s", change.EndpointTimeout, engine.failureSuffix())
	case engine.orderAttempts >= MaxOrderAttempts && engine.lastFailure != "":
		return fmt.Sprintf("%d orders failed%s", engine.orderAttempts, engine.failureSuffix())
	default:
		return ""
	}
}

// failureSuffix returns the last failure as the end of a message, or an empty string.
func (e *engine) failureSuffix() string {
	if e.lastFailure == "" {
		return ""
	}
	return ": " + e.lastFailure
}
