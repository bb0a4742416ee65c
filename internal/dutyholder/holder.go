// Package dutyholder holds the lease of a duty: calls that one instance at a time makes for all.
//
// The lease is an object of the platform's object API, and pkg/leaser decides about it. Only the
// first live instances for the duty read and write the object, so that the calls do not grow with
// the fleet.
package dutyholder

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/internal/storer"
	"github.com/oleanderpick/oleanderpick/pkg/leaser"
)

// Store is the part of the platform's object API that a holder uses.
type Store interface {
	Get(ctx context.Context, kind, name string) (storer.Object, error)
	Put(ctx context.Context, kind, name string, spec json.RawMessage, condition storer.Condition) (storer.Object, error)
}

// Fleet lists the live instances that are not leaving.
type Fleet interface {
	// Members returns their names, with this instance's unless it is leaving.
	Members() []string
}

// Settings are the duty of a Holder and the times of its lease.
type Settings struct {
	Duty Duty
	// Kind is the kind of the lease object.
	Kind string
	// Instance is this instance's name, and Incarnation differs at each start of it.
	Instance    string
	Incarnation uint64
	// LeaseDuration is the time within which the duty does not return to a former holder, and
	// ThawTime how long after its lease calls of a former holder may still arrive.
	LeaseDuration, ThawTime time.Duration
	// FirstStart is true if the whole system starts for the first time, so that a missing object was
	// not deleted.
	FirstStart bool
}

const (
	// tickInterval is how often a candidate looks whether a call is due, and idleInterval how often
	// other instances look whether they have become one.
	tickInterval = 50 * time.Millisecond
	idleInterval = 250 * time.Millisecond
	// renewalsPerLease is the number of renewals, and of reads, in a lease. Two may fail before it ends.
	renewalsPerLease = 3
	// retryDelay is the time between a failed call of the store and the next one.
	retryDelay = 200 * time.Millisecond
	// callTimeout is when a call of the store counts as lost. The store's client gives up earlier.
	callTimeout = 800 * time.Millisecond
)

// Holder holds the lease of one duty, or tries to. It is safe for concurrent use.
type Holder struct {
	settings  Settings
	store     Store
	fleet     Fleet
	sinceBoot func() time.Duration
	counters  *meter.Meter
	logger    hclog.Logger
	done      chan struct{}

	mu        sync.Mutex
	candidacy candidacy
	leaser    *leaser.Leaser // nil while this instance is no candidate
	sessions  uint64         // leasers so far
	current   Term           // as it was logged last; zero if there is none
	isFailing bool           // the last call of the store failed
	reason    string         // why the current term ends; empty if its lease runs out
	confirmAt time.Duration  // a renewal must be sent after it before the term is used again
	// payloads has a channel for each payload of the current term that is not known to be stored, by
	// the leaser's number of it.
	payloads map[uint64]chan struct{}
}

// New returns a holder that does not hold its duty. Serve runs it.
func New(settings Settings, store Store, fleet Fleet, sinceBoot func() time.Duration, counters *meter.Meter, logger hclog.Logger) *Holder {
	return &Holder{
		settings: settings, store: store, fleet: fleet, sinceBoot: sinceBoot, counters: counters, logger: logger, done: make(chan struct{}),
		candidacy: candidacy{settings: settings, startedAt: sinceBoot()},
		payloads:  map[uint64]chan struct{}{},
	}
}

// String returns the name that the supervisor logs.
func (h *Holder) String() string {
	return "holder of " + string(h.settings.Duty)
}

// Done returns a channel that is closed when Serve has ended.
func (h *Holder) Done() <-chan struct{} {
	return h.done
}

// now returns the clock since boot as the leaser's time.
func (h *Holder) now() time.Time {
	return time.Unix(0, 0).Add(h.sinceBoot())
}

// Term returns the current term; false if this instance does not hold the duty now.
func (h *Holder) Term() (Term, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.term()
}

// term is Term for a caller that holds the mutex.
func (h *Holder) term() (Term, bool) {
	if h.leaser == nil {
		return Term{}, false
	}
	fence, expiresAt, ok := h.leaser.Held(h.now())
	if !ok || h.leaser.ConfirmedAt().Sub(time.Unix(0, 0)) <= h.confirmAt {
		return Term{}, false
	}

	return Term{Fence: fence, EndsAt: expiresAt.Sub(time.Unix(0, 0))}, true
}

// Refused ends the term with a token that the cloud API refused. The next term has a higher one.
func (h *Holder) Refused(fence uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counters.Add("duties.refused", 1)
	if h.leaser == nil || h.current.Fence != fence {
		return
	}
	h.reason = "token refused"
	h.leaser.RecordFence(fence + 1)
	h.logTerm()
}

// Confirm suspends the term with a token until the lease has been renewed by a write that is sent
// after this call.
func (h *Holder) Confirm(fence uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leaser != nil && h.current.Fence == fence {
		h.confirmAt = h.sinceBoot()
	}
}

// Payload returns what the last holder stored, and false if what earlier holders stored may be lost.
func (h *Holder) Payload() (payload json.RawMessage, isComplete bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leaser == nil {
		return nil, false
	}

	return h.leaser.Payload(), !h.leaser.IsPayloadLost()
}

// SetPayload sets what the next writes under a term store. The returned channel is closed once the
// payload, or a later one of the term, is stored; it stays open if the term ends before. If the
// payload is urgent, the write does not wait for the renewal of the lease.
func (h *Holder) SetPayload(fence uint64, payload json.RawMessage, isUrgent bool) (stored <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	waiting := make(chan struct{})
	if current, ok := h.term(); !ok || current.Fence != fence {
		return waiting
	}
	h.payloads[h.leaser.SetPayload(payload)] = waiting
	if isUrgent {
		h.leaser.Hasten(h.now())
	}

	return waiting
}

// Serve holds the duty, or tries to, until ctx ends. Then it releases the lease.
func (h *Holder) Serve(ctx context.Context) error {
	defer close(h.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			h.release(ctx)

			return ctx.Err()
		case <-ticker.C:
			interval := idleInterval
			if h.tick(ctx) {
				interval = tickInterval
			}
			ticker.Reset(interval)
		}
	}
}

// release gives the lease up for good.
func (h *Holder) release(ctx context.Context) {
	h.mu.Lock()
	held, actions := h.leaser, h.stopHolding("planned stop")
	h.mu.Unlock()
	h.perform(context.WithoutCancel(ctx), held, actions)
}

// stopHolding ends the candidacy and returns the write that releases the lease, if it is held. The
// caller holds the mutex.
func (h *Holder) stopHolding(reason string) []leaser.Action {
	if h.leaser == nil {
		return nil
	}
	h.reason = reason
	actions := h.leaser.Release(h.now())
	h.logTerm()
	h.leaser = nil

	return actions
}

// tick makes the call of the store that is due. It reports whether this instance is a candidate.
func (h *Holder) tick(ctx context.Context) (isCandidate bool) {
	members := h.fleet.Members()
	h.mu.Lock()
	isCandidate, reason := h.candidacy.update(h.sinceBoot(), members, h.current.Fence != 0)
	current := h.leaser
	var actions []leaser.Action
	switch {
	case !isCandidate:
		actions = h.stopHolding(reason)
	case current == nil:
		h.sessions++
		h.leaser = leaser.New(h.leaserSettings())
		current = h.leaser
		h.logger.Info("Candidate for a duty.", "duty", h.settings.Duty, "members", len(members))

		fallthrough
	default:
		actions = h.leaser.Tick(h.now())
		h.logTerm()
	}
	h.mu.Unlock()
	if len(actions) > 0 {
		go h.perform(ctx, current, actions)
	}

	return isCandidate
}

// leaserSettings returns the settings of the next leaser. Its ID differs from all earlier ones.
func (h *Holder) leaserSettings() leaser.Settings {
	duration := h.settings.LeaseDuration + h.settings.ThawTime

	return leaser.Settings{
		Name: string(h.settings.Duty), HolderID: fmt.Sprintf("%s/%d/%d", h.settings.Instance, h.settings.Incarnation, h.sessions),
		HolderName: h.settings.Instance, Duration: duration, RenewInterval: duration / renewalsPerLease, PollInterval: duration / renewalsPerLease,
		RetryDelay: retryDelay, CallTimeout: callTimeout, FenceFromVersion: true,
		WaitIfAbsent: !h.settings.FirstStart || h.sessions > 1,
	}
}

// logTerm logs when a term has begun or ended. The caller holds the mutex.
func (h *Holder) logTerm() {
	var fence uint64
	if h.leaser != nil {
		fence, _, _ = h.leaser.Held(h.now())
	}
	if fence == h.current.Fence {
		return
	}
	if h.current.Fence != 0 {
		if h.reason == "" {
			h.reason = "lease ran out or was taken"
		}
		h.logger.Info("Term ended.", "duty", h.settings.Duty, "token", h.current.Fence, "reason", h.reason)
		h.counters.Add("duties.terms-ended", 1)
	}
	h.reason, h.current = "", Term{Fence: fence}
	clear(h.payloads)
	if fence != 0 {
		h.logger.Info("Term began.", "duty", h.settings.Duty, "token", fence)
		h.counters.Add("duties.terms", 1)
	}
	h.counters.SetGauge("duties.token."+string(h.settings.Duty), int64(fence)) //nolint:gosec // Tokens stay below 2^63.
}

// perform makes the calls of the store that a leaser asks for, and those that follow.
func (h *Holder) perform(ctx context.Context, l *leaser.Leaser, actions []leaser.Action) {
	for len(actions) > 0 {
		action := actions[0]
		actions = actions[1:]
		switch action := action.(type) {
		case leaser.Read:
			actions = append(actions, h.read(ctx, l)...)
		case leaser.Write:
			actions = append(actions, h.write(ctx, l, action)...)
		}
	}
}

// read reads the lease object and returns what follows.
func (h *Holder) read(ctx context.Context, l *leaser.Leaser) []leaser.Action {
	h.counters.Add("duties.reads", 1)
	object, err := h.store.Get(ctx, h.settings.Kind, string(h.settings.Duty))
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.logTerm()
	if errors.Is(err, storer.ErrNotFound) {
		return l.OnRead(h.now(), leaser.StoredLease{})
	}
	stored, decodeErr := decode(object)
	h.logFailure("read", errors.Join(err, decodeErr))
	if err != nil || decodeErr != nil {
		l.OnReadFailed(h.now())

		return nil
	}

	return l.OnRead(h.now(), stored)
}

// write writes the lease object and returns what follows.
func (h *Holder) write(ctx context.Context, l *leaser.Leaser, write leaser.Write) []leaser.Action {
	h.counters.Add("duties.writes", 1)
	object, err := h.put(ctx, write)
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.logTerm()
	var conflict *storer.ConflictError
	switch {
	case err == nil:
		h.isFailing = false
		l.OnWrittenInEpoch(h.now(), write, object.Version, object.Epoch)
		if l == h.leaser {
			h.confirmPayloads(write.PayloadNumber)
		}

		return nil
	case errors.As(err, &conflict):
		stored, decodeErr := decode(conflict.Current)
		if decodeErr == nil {
			return l.OnWriteConflict(h.now(), write, stored)
		}
	}
	h.logFailure("write", err)
	l.OnWriteFailed(h.now(), write, errors.Is(err, storer.ErrWriteInDoubt))

	return nil
}

// logFailure logs the first failure of several calls of the store in a row. The caller holds the mutex.
func (h *Holder) logFailure(call string, err error) {
	if err != nil && !h.isFailing {
		h.logger.Info("Cannot use the lease.", "duty", h.settings.Duty, "call", call, "error", err)
	}
	h.isFailing = err != nil
}

// put writes the lease object if its version is still the expected one.
func (h *Holder) put(ctx context.Context, write leaser.Write) (storer.Object, error) {
	spec, err := json.Marshal(write.Lease)
	if err != nil {
		return storer.Object{}, errors.Wrap(err, "encode lease")
	}
	condition := storer.IfNotExists()
	if write.Version > 0 {
		condition = storer.IfVersion(write.Version)
	}

	return h.store.Put(ctx, h.settings.Kind, string(h.settings.Duty), spec, condition)
}

// decode decodes a lease object. An object with version 0 does not exist.
func decode(object storer.Object) (leaser.StoredLease, error) {
	stored := leaser.StoredLease{Version: object.Version, Epoch: object.Epoch}
	if object.Version == 0 {
		return stored, nil
	}
	if err := json.Unmarshal(object.Spec, &stored.Lease); err != nil {
		return stored, errors.Wrap(err, "decode lease")
	}

	return stored, nil
}

// confirmPayloads closes the channels of the payloads up to a number. The caller holds the mutex.
func (h *Holder) confirmPayloads(number uint64) {
	for waiting, channel := range h.payloads {
		if waiting <= number {
			close(channel)
			delete(h.payloads, waiting)
		}
	}
}
