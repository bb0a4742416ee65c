package pauser_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/pauser"
)

func TestPausesEndByThemselves(t *testing.T) {
	start := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	second := func(n float64) time.Time { return start.Add(time.Duration(n * float64(time.Second))) }
	for name, test := range map[string]struct {
		pauses  []time.Duration // one a second
		at      float64
		wantEnd time.Time
	}{
		"none":                     {nil, 0, time.Time{}},
		"in a pause":               {[]time.Duration{2 * time.Second}, 1.9, second(2)},
		"ended":                    {[]time.Duration{2 * time.Second}, 2, time.Time{}},
		"shorter one later":        {[]time.Duration{9 * time.Second, time.Second}, 3, second(9)},
		"longer one later":         {[]time.Duration{time.Second, 9 * time.Second}, 3, second(10)},
		"decimal":                  {[]time.Duration{1500 * time.Millisecond}, 1.4, second(1.5)},
		"negative":                 {[]time.Duration{-time.Second}, 0, time.Time{}},
		"longer than is ever kept": {[]time.Duration{time.Hour}, 1, start.Add(pauser.MaxPause)},
	} {
		t.Run(name, func(t *testing.T) {
			p := pauser.New()
			for n, pause := range test.pauses {
				p.Record(second(float64(n)), "e", pause)
			}
			assert.Equal(t, p.Ends(second(test.at))["e"], test.wantEnd)
			assert.Assert(t, test.wantEnd.IsZero() == (p.Ends(second(test.at)) == nil))
		})
	}
}

func TestPausesOfRemovedEndpointsAreForgotten(t *testing.T) {
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	p := pauser.New()
	p.Record(now, "kept", time.Second)
	p.Record(now, "removed", time.Second)
	p.Retain(func(endpoint string) bool { return endpoint == "kept" })
	ends := p.Ends(now)
	assert.Equal(t, len(ends), 1)
	assert.Equal(t, ends["kept"], now.Add(time.Second))
}
