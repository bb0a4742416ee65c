package drainer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/drainer"
)

var settings = drainer.Settings{BalancerNoticeDelay: 2500 * time.Millisecond, QuietWindow: 400 * time.Millisecond, StopTimeout: 7600 * time.Millisecond, AcceptMargin: 500 * time.Millisecond, AnswerMargin: 300 * time.Millisecond}

// A connection whose first packets are lost arrives about 200 ms after it was opened.
// When instances were stopped one after the other, requests on such connections found
// the listener closed.
func TestStopWaitsForLateConnectionsAndRequestsInFlight(t *testing.T) {
	for name, test := range map[string]struct {
		progress drainer.Progress
		want     drainer.Action
	}{
		"before the balancer notices":          {drainer.Progress{Elapsed: 2 * time.Second, SinceLastConnection: time.Minute}, drainer.Serve},
		"idle with a recent connection":        {drainer.Progress{Elapsed: 3 * time.Second, SinceLastConnection: 230 * time.Millisecond}, drainer.FinishRequests},
		"balancer has no other instance":       {drainer.Progress{Elapsed: 6 * time.Second, SinceLastConnection: 10 * time.Millisecond, InFlight: 3}, drainer.FinishRequests},
		"stream in flight":                     {drainer.Progress{Elapsed: 5 * time.Second, SinceLastConnection: time.Minute, InFlight: 1}, drainer.FinishRequests},
		"idle with no recent connection":       {drainer.Progress{Elapsed: 3 * time.Second, SinceLastConnection: 500 * time.Millisecond}, drainer.Exit},
		"requests in flight after the timeout": {drainer.Progress{Elapsed: 7600 * time.Millisecond, InFlight: 2}, drainer.Exit},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, settings.NextAction(test.progress), test.want)
		})
	}
}

// Guards against requests that are read right before the instance exits, because callers
// keep connecting, and are cut off without an answer.
func TestNoConnectionIsAcceptedRightBeforeTheStopTimeout(t *testing.T) {
	for elapsed := time.Duration(0); elapsed < settings.StopTimeout; elapsed += 50 * time.Millisecond {
		action := settings.NextAction(drainer.Progress{Elapsed: elapsed, InFlight: 3, SinceLastConnection: 10 * time.Millisecond})
		isAccepting := action == drainer.Serve || action == drainer.FinishRequests
		assert.Equal(t, isAccepting, elapsed < settings.StopTimeout-settings.AcceptMargin, "after %v: %v", elapsed, action)
	}
}

// A stop ends within its timeout. It ends earlier only when the balancer has noticed,
// no request is in flight and no connection was opened recently.
func TestStopEndsInTimeAndOnlyWhenQuiet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		progress := drainer.Progress{
			Elapsed:             time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "since")),
			InFlight:            rapid.Int64Range(0, 3).Draw(t, "in flight"),
			SinceLastConnection: time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "since opened")),
		}
		action := settings.NextAction(progress)
		switch {
		case progress.Elapsed >= settings.StopTimeout:
			assert.Equal(t, action, drainer.Exit)
		case action == drainer.Exit:
			assert.Assert(t, progress.InFlight == 0 && progress.Elapsed >= settings.BalancerNoticeDelay && progress.SinceLastConnection >= settings.QuietWindow)
		}
	})
}

// Guards against requests that are taken early in a stop and are cut off at its end, since they may last longer.
func TestRequestThatMayOutlastTheStopDoesNotRun(t *testing.T) {
	const second = time.Second
	for name, test := range map[string]struct {
		elapsed time.Duration
		request drainer.Request
		want    bool
	}{
		"ends in time":                 {2 * second, drainer.Request{TimeLeft: 5 * second, RunsOnce: true}, true},
		"unknown":                      {0, drainer.Request{TimeLeft: 15 * second}, false},
		"unknown, runs once":           {0, drainer.Request{TimeLeft: 15 * second, RunsOnce: true}, false},
		"short":                        {2 * second, drainer.Request{TimeLeft: 15 * second, LongestOfRoute: 4 * second}, true},
		"long":                         {2 * second, drainer.Request{TimeLeft: 15 * second, LongestOfRoute: 6 * second}, false},
		"short, balancer has noticed":  {3 * second, drainer.Request{TimeLeft: 15 * second, LongestOfRoute: second}, false},
		"short, runs once":             {2 * second, drainer.Request{TimeLeft: 15 * second, LongestOfRoute: second, RunsOnce: true}, true},
		"not so short, runs once":      {2 * second, drainer.Request{TimeLeft: 15 * second, LongestOfRoute: 2 * second, RunsOnce: true}, false},
		"ends in time, after the time": {8 * second, drainer.Request{TimeLeft: second / 10}, false},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, settings.MayRun(test.elapsed, test.request), test.want) })
	}
}

func TestDurationsKeepsTheLastRequestsOfARoute(t *testing.T) {
	d := drainer.NewDurations()
	assert.Equal(t, d.Longest("r"), time.Duration(0))
	d.Record("r", 9*time.Second)
	for range 64 {
		assert.Equal(t, d.Longest("r"), 9*time.Second)
		d.Record("r", 2*time.Second)
	}
	assert.Equal(t, d.Longest("r"), 2*time.Second)
	d.RecordUnfinished("r", time.Second)
	assert.Equal(t, d.Longest("r"), 2*time.Second, "one that ended early says nothing")
	d.RecordUnfinished("r", 8*time.Second)
	assert.Equal(t, d.Longest("r"), 8*time.Second)
	d.RecordUnfinished("unknown", 8*time.Second)
	assert.Equal(t, d.Longest("unknown"), time.Duration(0))
	known := 0
	for n := range 2000 {
		d.Record(fmt.Sprint("route ", n), time.Second)
	}
	for n := range 2000 {
		known += int(d.Longest(fmt.Sprint("route ", n)) / time.Second)
	}
	assert.Assert(t, known >= 1023 && known <= 1024, "%d routes are kept", known)
	assert.Equal(t, d.Longest("route 1999"), time.Second)
}
