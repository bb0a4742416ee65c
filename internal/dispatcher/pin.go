package dispatcher

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/pkg/pinner"
)

const (
	// pinTimeout limits the wait for other instances' pins. An answer takes a round trip, and
	// an instance that starts learns of the others within about 100 ms.
	pinTimeout = 200 * time.Millisecond
	// recordTimeout limits the wait for the record of versions.
	recordTimeout = 300 * time.Millisecond
	// holdersPollInterval is the time between two looks whether other instances are known.
	holdersPollInterval = 20 * time.Millisecond
)

// PinSource gets pins from other instances.
type PinSource interface {
	// RequestPin requests a stream's pin from the instance of the given name. It returns false
	// if that instance does not keep it.
	RequestPin(ctx context.Context, holder string, streamID uint64) (pinner.Pin, bool, error)
}

// SetPinSource sets the source of pins that this instance does not keep. Call SetPinSource
// before Serve.
func (d *Dispatcher) SetPinSource(source PinSource) {
	d.pinSource = source
}

// OnPin sets the function that is called with each new pin and the names of the instances to
// send it to. The function must not block. Call OnPin before Serve.
func (d *Dispatcher) OnPin(callback func(pin pinner.Pin, holders []string)) {
	d.onPin = callback
}

// PinStream keeps which version of a service began a stream, until the caller no longer waits
// for the stream.
func (d *Dispatcher) PinStream(pin pinner.Pin) {
	d.withState(func() {
		if d.pinner.Record(d.clock.Now(), pin) {
			d.onPin(pin, d.pinner.Holders(pin.StreamID))
		}
	})
}

// ReceivePin keeps another instance's pin.
func (d *Dispatcher) ReceivePin(pin pinner.Pin) {
	d.withState(func() { d.pinner.Record(d.clock.Now(), pin) })
}

// LocalPin returns a stream's pin if this instance keeps it.
func (d *Dispatcher) LocalPin(streamID uint64) (pin pinner.Pin, ok bool) {
	d.withState(func() { pin, ok = d.pinner.Find(d.clock.Now(), streamID) })

	return pin, ok
}

// FindPin returns a stream's pin. If this instance does not keep it, FindPin requests it from
// those that may. Without one, FindPin returns whether all of these answered that they do not
// keep it.
func (d *Dispatcher) FindPin(ctx context.Context, streamID uint64) (pin pinner.Pin, ok, allAnswered bool) {
	pin, ok = d.LocalPin(streamID)
	if ok || d.pinSource == nil {
		return pin, ok, true
	}
	ctx, cancel := context.WithTimeout(ctx, pinTimeout)
	defer cancel()
	holders := d.awaitHolders(ctx, streamID)
	type reply struct {
		pin pinner.Pin
		ok  bool
		err error
	}
	replies := make(chan reply, len(holders))
	for _, holder := range holders {
		go func() {
			pin, ok, err := d.pinSource.RequestPin(ctx, holder, streamID)
			if err != nil && !errors.Is(ctx.Err(), context.Canceled) {
				d.logger.Info("Requested a pin in vain.", "holder", holder, "error", err)
			}
			replies <- reply{pin, ok, err}
		}()
	}
	// An instance that is cut off from its peers has no holders to request a pin from.
	allAnswered = len(holders) > 0 || d.instanceCount.Load() <= 1
	for range holders {
		found := <-replies
		if found.ok {
			d.ReceivePin(found.pin)

			return found.pin, true, true
		}
		allAnswered = allAnswered && found.err == nil
	}

	return pinner.Pin{}, false, allAnswered
}

// awaitHolders returns the other instances that may keep a stream's pin. An instance that has just
// started knows none, so awaitHolders waits for some until ctx ends.
func (d *Dispatcher) awaitHolders(ctx context.Context, streamID uint64) (holders []string) {
	for {
		d.withState(func() { holders = d.pinner.Holders(streamID) })
		if len(holders) > 0 {
			return holders
		}
		select {
		case <-time.After(holdersPollInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// VersionSource reads the record of the versions at which streams may have begun.
type VersionSource interface {
	// OnlyVersion returns the version at which streams of a service began that have not ended.
	// It returns false if there may be several.
	OnlyVersion(ctx context.Context, service string) (version string, ok bool, err error)
}

// SetVersionSource sets the source of the record of versions. Call SetVersionSource before Serve.
func (d *Dispatcher) SetVersionSource(source VersionSource) {
	d.versionSource = source
}

// OriginState is what is known of the version that began a stream.
type OriginState int

// The states of an origin.
const (
	// OriginPending means that the version may be known soon: an instance or the platform has
	// not answered, or this instance has just started.
	OriginPending OriginState = iota
	// OriginLost means that no instance and no record has the version.
	OriginLost
	// OriginPinned means that an instance knows the version.
	OriginPinned
	// OriginOnlyVersion means that the service has had no other version for as long as the
	// stream can last.
	OriginOnlyVersion
)

// String returns the state's name for logs.
func (s OriginState) String() string {
	return [...]string{"not yet known", "nobody knows", "pinned", "only version"}[s]
}

// Origin is the version of a service that began a stream.
type Origin struct {
	State OriginState
	// Service and Version are empty unless the version is known.
	Service, Version string
	// Reason says for logs why the version is not known.
	Reason string
}

// settleTime is the time after its start in which an instance learns of all others.
const settleTime = time.Second

// FindOrigin finds the version that began a stream; streamID is 0 if the caller does not name the
// stream. The service is the one that the route leads to, empty if it leads to several.
func (d *Dispatcher) FindOrigin(ctx context.Context, streamID uint64, service string) Origin {
	pendingReason := ""
	if d.clock.SinceBoot()-d.startedAt < settleTime {
		pendingReason = "just started"
	}
	if streamID != 0 {
		pin, ok, allAnswered := d.FindPin(ctx, streamID)
		if ok {
			return Origin{State: OriginPinned, Service: pin.Service, Version: pin.Version}
		}
		if !allAnswered {
			pendingReason = "peers did not answer"
		}
	}
	version, ok, err := d.onlyVersion(ctx, service)
	switch {
	case ok:
		return Origin{State: OriginOnlyVersion, Service: service, Version: version}
	case err != nil:
		return Origin{State: OriginPending, Reason: "record of versions: " + err.Error()}
	case pendingReason != "":
		return Origin{State: OriginPending, Reason: pendingReason}
	case service == "":
		return Origin{State: OriginLost, Reason: "the route leads to several services"}
	}

	return Origin{State: OriginLost, Reason: "the record of versions or the registry has several"}
}

// onlyVersion returns the version at which all streams of a service began, if the record of
// versions and the registry have no other.
func (d *Dispatcher) onlyVersion(ctx context.Context, service string) (version string, ok bool, err error) {
	if service == "" || d.versionSource == nil {
		return "", false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	recorded, ok, err := d.versionSource.OnlyVersion(ctx, service)
	if !ok || err != nil {
		return "", false, err
	}
	d.withState(func() { version, ok = d.registry.OnlyVersion(d.clock.Now(), service) })

	return version, ok && version == recorded, nil
}

const (
	// maxPinnedStream is the longest that a stream may last whose route sets no limit.
	maxPinnedStream = 10 * time.Minute
	// useAfterRemoval is the longest time for which instances use an endpoint after another one
	// has read that it left the registry.
	useAfterRemoval = 10 * time.Second
)

// LongestStream returns how long after an endpoint has left the registry a stream that began
// there may be taken up. A caller waits no longer than its route allows, and takes the stream up
// within that time; the last answer takes as long once more. It is 0 without a configuration.
func (d *Dispatcher) LongestStream() time.Duration {
	current := d.Matcher()
	if current == nil {
		return 0
	}
	longest := maxPinnedStream
	if limit, isLimited := current.LongestStream(); isLimited {
		longest = limit
	}

	return 2*longest + useAfterRemoval
}
