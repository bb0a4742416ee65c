package protector_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against brittle endpoints that fall under an overload of requests which run shortly at many slots
// each: a draw that TestFleetKeepsBrittleEndpointsUp found.
func TestFoundDrawKeepsBrittleEndpointsUp(t *testing.T) {
	draw := fleetDraw{
		seed: 35, instances: 7, endpoints: 10, slots: 64, maxRejections: 8, transit: 5 * time.Millisecond,
		runTime: 320 * time.Millisecond, overload: 3, leavingShare: 0.3,
	}
	s := newSimulation(draw)
	used := s.run()
	assert.Assert(t, s.falls <= 2+draw.endpoints/10, "%d falls, %.2f used: %+v", s.falls, used, draw)
}
