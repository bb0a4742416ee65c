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
	d.runAndWait(func() {
		if d.pinner.Record(d.clock.Now(), pin) {
			d.onPin(pin, d.pinner.Holders(pin.StreamID))
		}
	})
}

// ReceivePin keeps another instance's pin.
func (d *Dispatcher) ReceivePin(pin pinner.Pin) {
	d.runAndWait(func() { d.pinner.Record(d.clock.Now(), pin) })
}

// LocalPin returns a stream's pin if this instance keeps it.
func (d *Dispatcher) LocalPin(streamID uint64) (pin pinner.Pin, ok bool) {
	d.runAndWait(func() { pin, ok = d.pinner.Find(d.clock.Now(), streamID) })

	return pin, ok
}

// FindPin returns a stream's pin. If this instance does not keep it, FindPin requests it from
// those that may. It returns false if none of them answers with it in time.
func (d *Dispatcher) FindPin(ctx context.Context, streamID uint64) (pinner.Pin, bool) {
	pin, ok := d.LocalPin(streamID)
	if ok || d.pinSource == nil {
		return pin, ok
	}
	ctx, cancel := context.WithTimeout(ctx, pinTimeout)
	defer cancel()
	holders := d.awaitHolders(ctx, streamID)
	type reply struct {
		pin pinner.Pin
		ok  bool
	}
	replies := make(chan reply, len(holders))
	for _, holder := range holders {
		go func() {
			pin, ok, err := d.pinSource.RequestPin(ctx, holder, streamID)
			if err != nil && !errors.Is(ctx.Err(), context.Canceled) {
				d.logger.Info("Requested a pin in vain.", "holder", holder, "error", err)
			}
			replies <- reply{pin, ok}
		}()
	}
	for range holders {
		if found := <-replies; found.ok {
			d.ReceivePin(found.pin)

			return found.pin, true
		}
	}

	return pinner.Pin{}, false
}

// awaitHolders returns the other instances that may keep a stream's pin. An instance that has just
// started knows none, so awaitHolders waits for some until ctx ends.
func (d *Dispatcher) awaitHolders(ctx context.Context, streamID uint64) (holders []string) {
	for {
		d.runAndWait(func() { holders = d.pinner.Holders(streamID) })
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

// OnlyVersion returns the version of a service's software if it is the only one of which
// endpoints are, or were shortly before, registered.
func (d *Dispatcher) OnlyVersion(service string) (version string, ok bool) {
	d.runAndWait(func() { version, ok = d.registry.OnlyVersion(d.clock.Now(), service) })

	return version, ok
}
