package gossiper

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/gossiper/gossipwire"
	"github.com/oleanderpick/oleanderpick/pkg/pinner"
)

// RequestPin requests a stream's pin from an instance. It implements dispatcher.PinSource.
func (g *Gossiper) RequestPin(ctx context.Context, holder string, streamID uint64) (pinner.Pin, bool, error) {
	address := g.addressOf(holder)
	if address == "" {
		return pinner.Pin{}, false, errors.Errorf("address of instance %q is unknown", holder)
	}
	reply, err := gossipwire.NewGossipProtobufClient("http://"+address, g.client).Pin(ctx, &gossipwire.PinRequest{Stream: streamID})
	if err != nil {
		g.meter.Add("pins.unanswered", 1)

		return pinner.Pin{}, false, errors.Wrapf(err, "request a pin from %s", holder)
	}
	if reply.GetPin() == nil {
		return pinner.Pin{}, false, nil
	}

	return DecodePin(time.Now(), reply.GetPin()), true, nil
}

// Pin answers a peer's request for a pin.
func (s *gossipServer) Pin(_ context.Context, request *gossipwire.PinRequest) (*gossipwire.PinReply, error) {
	pin, ok := s.gossiper.dispatcher.LocalPin(request.GetStream())
	if !ok {
		return &gossipwire.PinReply{}, nil
	}

	return &gossipwire.PinReply{Pin: EncodePin(time.Now(), pin)}, nil
}

// EncodePin returns the wire form of a pin, with the time until it expires.
func EncodePin(now time.Time, pin pinner.Pin) *gossipwire.Pin {
	return &gossipwire.Pin{Stream: pin.StreamID, Service: pin.Service, Software: pin.Version, LeftMs: toMilliseconds(pin.ExpiresAt.Sub(now))}
}

// DecodePin returns a pin from its wire form. The time until it expires counts from now.
func DecodePin(now time.Time, pin *gossipwire.Pin) pinner.Pin {
	return pinner.Pin{
		StreamID: pin.GetStream(), Service: pin.GetService(), Version: pin.GetSoftware(),
		ExpiresAt: now.Add(time.Duration(pin.GetLeftMs()) * time.Millisecond),
	}
}

// AddressesOf returns the addresses of the named instances, as far as they are known.
func (g *Gossiper) AddressesOf(names []string) []string {
	addresses := make([]string, 0, len(names))
	for _, name := range names {
		if address := g.addressOf(name); address != "" {
			addresses = append(addresses, address)
		}
	}

	return addresses
}
