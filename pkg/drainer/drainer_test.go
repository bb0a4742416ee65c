package drainer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/drainer"
)

var settings = drainer.Settings{Noticed: 2500 * time.Millisecond, Quiet: 400 * time.Millisecond, Limit: 7600 * time.Millisecond}

// A connection whose first packets are lost arrives about 200 ms after it was opened.
// When instances were stopped one after the other, requests on such connections found
// the listener closed.
func TestListenerStaysOpenForLateConnections(t *testing.T) {
	for name, test := range map[string]struct {
		progress drainer.Progress
		want     drainer.Action
	}{
		"before the balancer notices":          {drainer.Progress{Since: 2 * time.Second, SinceOpened: time.Minute}, drainer.Serve},
		"idle with a recent connection":        {drainer.Progress{Since: 3 * time.Second, SinceOpened: 230 * time.Millisecond}, drainer.Finish},
		"balancer has no other instance":       {drainer.Progress{Since: 6 * time.Second, SinceOpened: 10 * time.Millisecond, InFlight: 3}, drainer.Finish},
		"stream in flight":                     {drainer.Progress{Since: 5 * time.Second, SinceOpened: time.Minute, InFlight: 1}, drainer.Finish},
		"idle with no recent connection":       {drainer.Progress{Since: 3 * time.Second, SinceOpened: 500 * time.Millisecond}, drainer.End},
		"requests in flight after the timeout": {drainer.Progress{Since: 7600 * time.Millisecond, InFlight: 2}, drainer.End},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, settings.Next(test.progress), test.want)
		})
	}
}

// A stop ends within its timeout. It ends earlier only when the balancer has noticed,
// no request is in flight and no connection was opened recently.
func TestStopEndsInTimeAndOnlyWhenQuiet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		progress := drainer.Progress{
			Since:       time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "since")),
			InFlight:    rapid.Int64Range(0, 3).Draw(t, "in flight"),
			SinceOpened: time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "since opened")),
		}
		action := settings.Next(progress)
		switch {
		case progress.Since >= settings.Limit:
			assert.Equal(t, action, drainer.End)
		case action == drainer.End:
			assert.Assert(t, progress.InFlight == 0 && progress.Since >= settings.Noticed && progress.SinceOpened >= settings.Quiet)
		}
	})
}
