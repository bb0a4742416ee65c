package dispatcher_test

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/matcher"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// Guards against a new field in messages, or another demand, where the configuration scales a service
// but the settings do not name the duty, or the other way round; and against postponed prompts that do
// not reach the holder of the duty.
func TestDemandIsToldOnlyWhereEndpointsAreOrdered(t *testing.T) {
	for name, test := range map[string]struct{ isScaled, hasDuty bool }{
		"neither": {}, "scale only": {isScaled: true}, "duty only": {hasDuty: true}, "both": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			clock := dispatcher.Clock{Now: func() time.Time { return time.Unix(1000, 0) }, SinceBoot: func() time.Duration { return time.Hour }}
			d := dispatcher.New(dispatcher.Settings{Name: "i", DataCentre: "a"}, clock, hclog.NewNullLogger())
			if test.hasDuty {
				d.OrderEndpoints()
			}
			service := matcher.Service{Name: "s", Engine: &matcher.EngineSettings{Slots: 4}}
			if test.isScaled {
				service.Scale = &matcher.ScaleSettings{Max: 9}
			}
			d.ApplyConfiguration(time.Hour, matcher.New(matcher.Configuration{Number: 1, Services: []matcher.Service{service}}), dispatcher.StoredConfiguration{})
			d.ApplyListing(time.Hour, 1, []registrar.Endpoint{{ID: "e", Service: "s", DataCentre: "a", Slots: 4}})
			request := placer.Request{Service: "s", PromptTokens: 9000, TargetTimeToFirstToken: 300 * time.Millisecond}
			for range 20 {
				_, _ = d.Place(t.Context(), request, true)
			}
			message := d.BuildMessage(dispatcher.DataCentreLoads)
			total := message.Demands["s"].TotalLong
			if !test.isScaled || !test.hasDuty {
				assert.Equal(t, total, 0.)
				assert.Equal(t, len(d.ScaledServices()), 0)

				return
			}
			scaled := d.ScaledServices()
			assert.Assert(t, len(scaled) == 1 && len(scaled[0].Endpoints) == 1 && scaled[0].HasCurrentRegistry)
			assert.Equal(t, scaled[0].Demands["a"].Long, total)
			assert.Assert(t, total >= 20*9/(35*2*0.6), "%f: 20 prompts arrived", total)
		})
	}
}
