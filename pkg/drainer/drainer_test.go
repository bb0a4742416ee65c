package drainer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/drainer"
)

var settings = drainer.Settings{BalancerNoticeDelay: 2500 * time.Millisecond, QuietWindow: 400 * time.Millisecond, StopTimeout: 7600 * time.Millisecond}

// A connection whose first packets are lost arrives some 200 ms after it was
// opened. On a day with stops in turn such requests met a closed listener.
func TestLateConnectionsMeetAnOpenListener(t *testing.T) {
	for name, test := range map[string]struct {
		progress drainer.Progress
		want     drainer.Step
	}{
		"before the balancer notices":        {drainer.Progress{Elapsed: 2 * time.Second, SinceLastConnection: time.Minute}, drainer.Serve},
		"idle, but a connection just came":   {drainer.Progress{Elapsed: 3 * time.Second, SinceLastConnection: 230 * time.Millisecond}, drainer.FinishRequests},
		"the balancer has nobody else":       {drainer.Progress{Elapsed: 6 * time.Second, SinceLastConnection: 10 * time.Millisecond, InFlight: 3}, drainer.FinishRequests},
		"a stream is in flight":              {drainer.Progress{Elapsed: 5 * time.Second, SinceLastConnection: time.Minute, InFlight: 1}, drainer.FinishRequests},
		"nothing comes and nothing is there": {drainer.Progress{Elapsed: 3 * time.Second, SinceLastConnection: 500 * time.Millisecond}, drainer.Exit},
		"out of time":                        {drainer.Progress{Elapsed: 7600 * time.Millisecond, InFlight: 2}, drainer.Exit},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, settings.NextAction(test.progress), test.want)
		})
	}
}

// A stop ends within its limit, and before it only when nobody can notice.
func TestStopEndsInTimeAndUnnoticed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		progress := drainer.Progress{
			Elapsed:             time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "since")),
			InFlight:            rapid.Int64Range(0, 3).Draw(t, "in flight"),
			SinceLastConnection: time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "since opened")),
		}
		step := settings.NextAction(progress)
		switch {
		case progress.Elapsed >= settings.StopTimeout:
			assert.Equal(t, step, drainer.Exit)
		case step == drainer.Exit:
			assert.Assert(t, progress.InFlight == 0 && progress.Elapsed >= settings.BalancerNoticeDelay && progress.SinceLastConnection >= settings.QuietWindow)
		}
	})
}
