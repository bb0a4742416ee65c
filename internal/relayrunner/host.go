package relayrunner

import (
	"context"
	"net"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/common/clock"
	"github.com/oleanderpick/oleanderpick/internal/connector"
)

// Host is what an instance uses of the machine that it runs on.
type Host struct {
	// Listen opens a listener for TCP connections.
	Listen func(ctx context.Context, address string) (net.Listener, error)
	// Dial connects to the platform and to peers, and DialEndpoint to endpoints.
	Dial, DialEndpoint connector.DialFunc
	// SinceBoot reads a clock that also counts suspended time.
	SinceBoot func() time.Duration
	// Now reads the time of day; nil stands for time.Now.
	Now func() time.Time
}

// NewHost returns the machine's network and clock.
func NewHost() Host {
	return Host{
		Listen: func(ctx context.Context, address string) (net.Listener, error) {
			var config net.ListenConfig

			return config.Listen(ctx, "tcp", address)
		},
		Dial:         (&net.Dialer{}).DialContext,
		DialEndpoint: connector.NewDialFunc(connector.DefaultSettings()),
		SinceBoot:    clock.SinceBoot,
	}
}

// dialWithin returns the host's Dial with a timeout.
func (h Host) dialWithin(timeout time.Duration) connector.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()

		return h.Dial(ctx, network, address)
	}
}
