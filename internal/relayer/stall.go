package relayer

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/matcher"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
)

const (
	// slowShare is the share of the target after which an idempotent request
	// is tried elsewhere, early enough to be answered in time still.
	slowShare = 0.6
	// silenceMost is the silence of an endpoint on all its streams, beyond the
	// expected wait, after which one that may be resumed goes on elsewhere.
	silenceMost = 1200 * time.Millisecond
)

// errStalled is a try that was ended since nothing came.
var errStalled = errors.New("nothing came from the endpoint")

// staller ends a try that may be repeated when nothing comes from its endpoint.
// The repeat is taken from the bound first, so that no try ends in vain.
type staller struct {
	job       *job
	placement dispatcher.Placement
	service   string
	attempt   retrier.AttemptHistory // as it would be after this try
	end       context.CancelCauseFunc
	timer     *time.Timer
	limit     time.Duration
}

// stall starts to watch a try; nil: it may not be repeated.
func (j *job) stall(placement dispatcher.Placement, end context.CancelCauseFunc) *staller {
	if !j.route.CanRepeat() || j.runs+1 >= j.route.MaxRuns {
		return nil
	}
	s := &staller{
		job: j, placement: placement, service: j.ask.Service, end: end, limit: silenceMost + placement.ExpectedTimeToFirstToken,
		attempt: retrier.AttemptHistory{MayHaveRun: true, Repeatable: true, PossibleRuns: j.runs + 1, MaxRuns: j.route.MaxRuns, Refusals: j.refusals},
	}
	if j.route.Kind == matcher.Idempotent {
		if j.route.TargetLatency <= 0 {
			return nil
		}
		s.limit = time.Duration(float64(j.route.TargetLatency) * slowShare)
	}
	s.timer = time.AfterFunc(time.Hour, s.check)
	s.timer.Reset(s.limit) // check uses the timer, which must be set by then.

	return s
}

// heard notes that something came.
func (s *staller) heard() {
	if s != nil {
		s.timer.Reset(s.limit)
	}
}

// stop ends the watching.
func (s *staller) stop() {
	if s != nil {
		s.timer.Stop()
	}
}

// check ends the try, unless the endpoint is just busy with other streams. It
// runs beside the try, and reads of the job only what no longer changes.
func (s *staller) check() {
	j := s.job
	if j.route.Kind == matcher.Streaming {
		if silence := j.relayer.control.SinceLastActivity(s.placement); silence < s.limit {
			s.timer.Reset(s.limit - silence)

			return
		}
	}
	s.attempt.RemainingTime = time.Until(j.deadline)
	if j.relayer.control.TakeRepeat(s.service, s.attempt, true) != retrier.ReasonNone {
		return
	}
	s.end(errStalled)
}
