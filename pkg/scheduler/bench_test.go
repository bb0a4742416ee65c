package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/scheduler"
)

// BenchmarkDecision measures one scheduling decision: a request arrives, capacity becomes
// free, the next request is dispatched, and it ends.
func BenchmarkDecision(b *testing.B) {
	for _, waiting := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			s := scheduler.New(scheduler.Settings{MaxWaiting: 10 * waiting, Classes: simClasses()})
			newRequest := func(id int) scheduler.Request {
				tier := id * 7 % tierCount
				return scheduler.Request{
					ID: uint64(id + 1), Lane: laneNames[id%len(laneNames)], Tier: tier, Class: classNames[tier],
					Workspace: workspaceNames[id*31%min(len(workspaceNames), waiting)], Cost: 200 + id%300,
				}
			}
			now := testStart
			for id := range waiting {
				s.Enqueue(now, newRequest(id))
			}
			s.Dispatch(now, func(scheduler.Request) bool { return false })
			id := waiting
			for b.Loop() {
				now = now.Add(10 * time.Microsecond)
				s.Enqueue(now, newRequest(id))
				id++
				freeSlots := 1
				placed := s.DispatchLane(now, laneNames[id%len(laneNames)], func(scheduler.Request) bool {
					freeSlots--

					return freeSlots >= 0
				})
				for _, r := range placed {
					s.Finish(now, r.ID, r.Cost)
				}
				s.Expire(now)
			}
			b.ReportMetric(float64(s.Waiting()), "waiting")
		})
	}
}

var (
	laneNames      = []string{"pool/a", "pool/b", "pool/c"}
	classNames     = []string{"0", "1", "2", "3", "4"}
	workspaceNames = func() []string {
		names := make([]string, 4000)
		for i := range names {
			names[i] = fmt.Sprintf("workspace-%d", i)
		}

		return names
	}()
)
