// Package watcher reads the configuration and the registry of endpoints from the
// platform when this instance's copies of them get old.
//
// It polls instead of watching for changes: a linearizable read confirms the copy,
// detects a silent connection by its timeout, needs no history of changes, and costs
// the platform the same however much changes. Instances pass on to their peers what
// they read, so that few of them read at any time; docs/design/platform.md has the
// numbers.
package watcher

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/internal/storer"
	"github.com/oleanderpick/oleanderpick/pkg/freshener"
	"github.com/oleanderpick/oleanderpick/pkg/matcher"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// Store is the part of the platform's object API that the watcher uses.
type Store interface {
	Get(ctx context.Context, kind, name string) (storer.Object, error)
	List(ctx context.Context, kind, after string, limit int) (storer.Page, error)
}

// ObjectDecoder names the kinds of the platform's objects and decodes the objects.
type ObjectDecoder interface {
	// ConfigurationKindAndName returns the kind and name of the object that holds the
	// configuration.
	ConfigurationKindAndName() (kind, name string)
	// EndpointKind returns the kind of the objects that register endpoints.
	EndpointKind() string
	DecodeConfiguration(object storer.Object) (matcher.Configuration, error)
	DecodeEndpoint(object storer.Object) (registrar.Endpoint, error)
}

// Control applies the configuration and the endpoints that were read, and returns
// their ages. Times are readings of a clock that also counts suspended time.
type Control interface {
	// SinceBoot reads the clock.
	SinceBoot() time.Duration
	// Rank returns the number of live instances that come before this one.
	Rank() int
	// DataAges returns the time since the configuration and the endpoints were last
	// confirmed, negative for what has not been read yet.
	DataAges() (configuration, endpoints time.Duration)
	// ApplyConfiguration applies a configuration that was read by a call sent at the
	// given time.
	ApplyConfiguration(sentAt time.Duration, configuration *matcher.Matcher, stored dispatcher.StoredConfiguration)
	// IsListed reports whether the last listing has the same incarnation of an endpoint.
	IsListed(endpoint registrar.Endpoint) bool
	// ApplyListing applies a list of all endpoints, read in an epoch of the store by calls
	// of which the first was sent at the given time.
	ApplyListing(sentAt time.Duration, epoch uint64, endpoints []registrar.Endpoint)
	// RecordFailedConfiguration records that the configuration could not be read by a call that was
	// sent at the given time.
	RecordFailedConfiguration(sentAt time.Duration)
	// RecordFailedListing records that the endpoints could not be read by a call that was sent
	// at the given time.
	RecordFailedListing(sentAt time.Duration)
	// ApplyDepartures applies of such a list only what it says of endpoints in use.
	ApplyDepartures(sentAt time.Duration, epoch uint64, endpoints []registrar.Endpoint)
}

// VersionRecord keeps the record of the endpoints' versions.
type VersionRecord interface {
	// Admit returns the listed endpoints that may be used, since their versions are recorded or
	// since they are in use.
	Admit(ctx context.Context, epoch uint64, endpoints []registrar.Endpoint, isInUse func(registrar.Endpoint) bool) []registrar.Endpoint
}

// DefaultReadPolicy returns a policy with which every instance applies a change
// within two seconds: the age at which all instances read, the timeout of a read and
// a second read add up to less.
func DefaultReadPolicy() freshener.ReadPolicy {
	return freshener.ReadPolicy{
		MinReadAge:          450 * time.Millisecond,
		MaxReadAge:          1100 * time.Millisecond,
		ReaderRetryDelay:    150 * time.Millisecond,
		NonReaderRetryDelay: 500 * time.Millisecond,
		ReaderCount:         2,
	}
}

// ReadPolicies say when the configuration and the endpoints are read.
type ReadPolicies struct {
	Configuration, Endpoints freshener.ReadPolicy
}

const (
	// checkInterval is the time between checks of whether a read is due.
	checkInterval = 50 * time.Millisecond
	// slowRead is how long a read takes that is logged.
	slowRead = 200 * time.Millisecond
)

// Watcher reads the configuration and the endpoints when they are due and passes
// them to the control.
type Watcher struct {
	policies ReadPolicies
	store    Store
	decoder  ObjectDecoder
	versions VersionRecord
	control  Control
	logger   hclog.Logger
	done     chan struct{}

	lastConfiguration *matcher.Matcher
	lastVersion       uint64 // the store's version of lastConfiguration, in lastEpoch
	lastEpoch         uint64
}

// New returns a Watcher. Serve runs it.
func New(policies ReadPolicies, store Store, decoder ObjectDecoder, versions VersionRecord, control Control, logger hclog.Logger) *Watcher {
	return &Watcher{policies: policies, store: store, decoder: decoder, versions: versions, control: control, logger: logger, done: make(chan struct{})}
}

// String returns the name under which the supervisor logs this service.
func (w *Watcher) String() string {
	return "watcher"
}

// Done returns a channel that is closed when Serve has ended.
func (w *Watcher) Done() <-chan struct{} {
	return w.done
}

// Serve reads the configuration and the endpoints, in parallel, until ctx ends.
func (w *Watcher) Serve(ctx context.Context) error {
	defer close(w.done)
	endpointsDone := make(chan struct{})
	go func() {
		defer close(endpointsDone)
		w.runReadLoop(ctx, "endpoints", w.policies.Endpoints, w.readEndpoints, func() time.Duration {
			_, age := w.control.DataAges()

			return age
		})
	}()
	w.runReadLoop(ctx, "configuration", w.policies.Configuration, w.readConfiguration, func() time.Duration {
		age, _ := w.control.DataAges()

		return age
	})
	<-endpointsDone

	return ctx.Err()
}

// runReadLoop calls read whenever the data is due for a read, until ctx ends. It logs
// failures and the success after them.
func (w *Watcher) runReadLoop(ctx context.Context, dataName string, policy freshener.ReadPolicy, read func(context.Context) error, age func() time.Duration) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	state := freshener.ReadState{}
	lastReadAt := w.control.SinceBoot()
	for ; ctx.Err() == nil; waitForTick(ctx, ticker.C) {
		state.Age = age()
		state.HasData = state.Age >= 0
		state.Rank = w.control.Rank()
		state.SinceLastRead = w.control.SinceBoot() - lastReadAt
		if !policy.IsReadDue(state) {
			continue
		}
		lastReadAt = w.control.SinceBoot()
		err := read(ctx)
		took := w.control.SinceBoot() - lastReadAt
		switch {
		case err == nil && state.ConsecutiveFailures > 0:
			w.logger.Info("Reading from the platform works again.", "reading", dataName, "failed reads", state.ConsecutiveFailures, "ms", took.Milliseconds())
		case err == nil && took >= slowRead:
			w.logger.Info("Reading from the platform took long.", "reading", dataName, "age before ms", state.Age.Milliseconds(), "ms", took.Milliseconds())
		case err != nil && ctx.Err() == nil:
			w.logger.Warn("Cannot read from the platform.", "reading", dataName, "age ms", state.Age.Milliseconds(), "ms", took.Milliseconds(),
				"failed reads before", state.ConsecutiveFailures, "error", err)
		}
		state.ConsecutiveFailures++
		if err == nil {
			state.ConsecutiveFailures = 0
		}
	}
}

// waitForTick returns at the next tick or when ctx ends.
func waitForTick(ctx context.Context, ticks <-chan time.Time) {
	select {
	case <-ctx.Done():
	case <-ticks:
	}
}

// readConfiguration reads the configuration and passes it to the control, with the
// time at which the read was sent. It decodes only a changed version.
func (w *Watcher) readConfiguration(ctx context.Context) error {
	kind, name := w.decoder.ConfigurationKindAndName()
	sentAt := w.control.SinceBoot()
	object, err := w.store.Get(ctx, kind, name)
	if err != nil {
		w.control.RecordFailedConfiguration(sentAt)

		return err
	}
	if w.lastConfiguration == nil || object.Version != w.lastVersion || object.Epoch != w.lastEpoch {
		decoded, err := w.decoder.DecodeConfiguration(object)
		if err != nil {
			w.control.RecordFailedConfiguration(sentAt)

			return err
		}
		w.lastConfiguration, w.lastVersion, w.lastEpoch = matcher.New(decoded), object.Version, object.Epoch
	}
	w.control.ApplyConfiguration(sentAt, w.lastConfiguration, dispatcher.StoredConfiguration{Spec: object.Spec, Version: object.Version})

	return nil
}

// ListVersions reads the registry and returns the versions of all endpoints in it by service, with the
// epoch of the store. Unlike those that are applied, they include versions that are not recorded yet.
func (w *Watcher) ListVersions(ctx context.Context) (versions map[string][]string, epoch uint64, err error) {
	endpoints, epoch, err := w.listEndpoints(ctx)
	if err != nil {
		return nil, 0, err
	}
	versions = map[string][]string{}
	for _, endpoint := range endpoints {
		versions[endpoint.Service] = append(versions[endpoint.Service], endpoint.Version)
	}

	return versions, epoch, nil
}

// errEpochChanged means that the pages of a listing are not of one store. The store has answered.
var errEpochChanged = errors.New("the store's epoch changed between two pages")

// listEndpoints reads all pages of the registry. It skips registrations that cannot be decoded.
func (w *Watcher) listEndpoints(ctx context.Context) (endpoints []registrar.Endpoint, epoch uint64, err error) {
	for after, more := "", true; more; {
		page, err := w.store.List(ctx, w.decoder.EndpointKind(), after, 0)
		if err != nil {
			return nil, 0, err
		}
		if after != "" && page.Epoch != epoch {
			return nil, 0, errors.Wrapf(errEpochChanged, "from %d to %d", epoch, page.Epoch)
		}
		epoch = page.Epoch
		for _, item := range page.Items {
			endpoint, err := w.decoder.DecodeEndpoint(item)
			if err != nil {
				w.logger.Debug("Cannot decode an endpoint's registration; it is skipped.", "error", err)

				continue
			}
			endpoints = append(endpoints, endpoint)
		}
		more, after = page.HasMore, page.LastName
	}

	return endpoints, epoch, nil
}

// readEndpoints reads the registry and passes the endpoints to the control, with the time at which the
// first read was sent.
func (w *Watcher) readEndpoints(ctx context.Context) error {
	sentAt := w.control.SinceBoot()
	endpoints, epoch, err := w.listEndpoints(ctx)
	if err != nil && !errors.Is(err, errEpochChanged) {
		w.control.RecordFailedListing(sentAt)
	}
	if err != nil {
		return err
	}
	// New endpoints may wait for the record of versions, those that leave must not.
	w.control.ApplyDepartures(sentAt, epoch, endpoints)
	readAt := w.control.SinceBoot()
	admitted := w.versions.Admit(ctx, epoch, endpoints, w.control.IsListed)
	if waited := w.control.SinceBoot() - readAt; waited >= checkInterval || len(admitted) < len(endpoints) {
		w.logger.Info("A listing waited for the record of versions.", "ms", waited.Milliseconds(), "endpoints", len(endpoints), "admitted", len(admitted))
	}
	if len(admitted) == 0 && len(endpoints) > 0 {
		return errors.New("the endpoints' versions are not recorded yet")
	}
	w.control.ApplyListing(sentAt, epoch, admitted)

	return nil
}
