package dispatcher_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/pinner"
)

// noPins are instances that keep no pin.
type noPins struct{}

func (noPins) RequestPin(context.Context, string, uint64) (pinner.Pin, bool, error) {
	return pinner.Pin{}, false, nil
}

// Guards against a final answer of an instance that is cut off from its peers, which may know
// the stream.
func TestStreamIsLostOnlyIfNoOtherInstanceMayKnowIt(t *testing.T) {
	for name, test := range map[string]struct {
		fleet dispatcher.Fleet
		want  dispatcher.OriginState
	}{
		"alone":              {dispatcher.Fleet{InstanceCount: 1, Members: []string{"a"}}, dispatcher.OriginLost},
		"peers do not know":  {dispatcher.Fleet{InstanceCount: 2, Members: []string{"a", "b"}}, dispatcher.OriginLost},
		"cut off from peers": {dispatcher.Fleet{InstanceCount: 2, Members: []string{"a"}}, dispatcher.OriginPending},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				clock := dispatcher.Clock{Now: time.Now, SinceBoot: func() time.Duration { return time.Since(start) }}
				d := dispatcher.New(dispatcher.Settings{Name: "a"}, clock, hclog.NewNullLogger())
				d.SetPinSource(noPins{})
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = d.Serve(ctx) }()
				d.SetFleet(test.fleet)
				time.Sleep(time.Minute)
				assert.Equal(t, d.FindOrigin(ctx, 7, "s").State, test.want)
				cancel()
				<-d.Done()
			})
		})
	}
}
