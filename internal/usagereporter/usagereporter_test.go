package usagereporter_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/dutyholder"
	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/internal/usagereporter"
	"github.com/oleanderpick/oleanderpick/pkg/usagecounter"
)

// forgetfulHolder holds a duty under one token. It never tells that one of the first payloads is stored.
type forgetfulHolder struct {
	forgotten int
}

func (*forgetfulHolder) Term() (dutyholder.Term, bool) {
	return dutyholder.Term{Fence: 7, EndsAt: time.Hour}, true
}
func (*forgetfulHolder) Refused(uint64)                   {}
func (*forgetfulHolder) Payload() (json.RawMessage, bool) { return nil, false }

func (h *forgetfulHolder) SetPayload(uint64, json.RawMessage, bool) <-chan struct{} {
	stored := make(chan struct{})
	if h.forgotten--; h.forgotten < 0 {
		close(stored)
	}

	return stored
}

// collector keeps the windows that were reported.
type collector struct {
	windows []uint64
}

func (c *collector) ReportUsage(_ context.Context, _ dutyholder.Term, window uint64, _ map[string]uint64) error {
	c.windows = append(c.windows, window)

	return nil
}

func (*collector) SendUsage(context.Context, string, []usagecounter.WindowCounts) bool { return true }

// Guards against windows that are not reported for the rest of a term because one payload is never known to be
// stored: the lease ran out and was renewed under the same token by a write whose answer came late.
func TestReportsGoOnAfterAPayloadThatIsNotKnownToBeStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const window = 5 * time.Second
		begin, calls := time.Now(), &collector{}
		sinceBoot := func() time.Duration { return time.Since(begin) + time.Hour }
		reporter := usagereporter.New(usagereporter.Settings{Settings: usagecounter.Settings{Window: window, Delay: 2 * window}, Instance: "a", FirstStart: true},
			usagereporter.Clocks{SinceBoot: sinceBoot, TimeOfDay: sinceBoot}, func() []string { return []string{"a"} }, &forgetfulHolder{forgotten: 1}, calls, calls, meter.New(), hclog.NewNullLogger())
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = reporter.Serve(ctx) }()
		time.Sleep(8 * window)
		cancel()
		<-reporter.Done()
		assert.Assert(t, len(calls.windows) >= 5, "reported windows %v", calls.windows)
	})
}
