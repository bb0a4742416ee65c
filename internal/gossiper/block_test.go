package gossiper_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/internal/lab/piper"
	"github.com/oleanderpick/oleanderpick/pkg/isolator"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
)

// recordCrash makes an instance notice a crash of an endpoint at which a request with the
// blocks was running.
func (i testInstance) recordCrash(endpoint string, blocks ...uint64) {
	placement := dispatcher.Placement{Choice: placer.Choice{EndpointID: endpoint}}
	i.dispatcher.RecordBrokenAnswer(placement, dispatcher.BrokenAnswer{Blocks: blocks, BrokenAt: time.Now()})
	i.dispatcher.RecordEndpointDown(placement)
}

// Guards against a block that crashes an endpoint at each instance once, because each
// instance knows only the crash that it noticed itself. The other blocks of these requests
// completed at another instance.
func TestBlockIsQuarantinedByAllInstancesIfEachNoticesOneCrash(t *testing.T) {
	const poison, key, common = 1 << 40, 2, 3
	for _, count := range []int{4, 30} {
		t.Run(fmt.Sprint(count, " instances"), func(t *testing.T) {
			runFleet(t, count, func(t *testing.T, _ *piper.Network, instances []testInstance, _ func() time.Duration) {
				time.Sleep(time.Second)
				instances[3].dispatcher.RecordCompletedBlocks([]uint64{key, common})
				time.Sleep(100 * time.Millisecond)
				for crash := range 2 {
					instances[crash].recordCrash(fmt.Sprint("e", crash), common, key, poison)
					time.Sleep(time.Second)
				}
				for n, i := range instances {
					assert.Equal(t, i.dispatcher.DecideBlocks([]uint64{common, key, poison}), isolator.Quarantined, "instance %d", n)
					assert.Equal(t, i.dispatcher.DecideBlocks([]uint64{common, poison}), isolator.Quarantined, "instance %d", n)
					assert.Equal(t, i.dispatcher.DecideBlocks([]uint64{common, key}), isolator.Allowed, "instance %d", n)
				}
			})
		})
	}
}

// Guards against records of blocks that are passed around for ever, because their times
// become later with each message.
func TestRecordsOfBlocksExpireInAFleet(t *testing.T) {
	runFleetWithTransit(t, 4, 60*time.Millisecond, func(t *testing.T, _ *piper.Network, instances []testInstance, _ func() time.Duration) {
		time.Sleep(time.Second)
		instances[0].recordCrash("e1", 1, 2)
		instances[1].recordCrash("e2", 1, 2)
		time.Sleep(time.Second)
		instances[2].dispatcher.RecordCompletedBlocks([]uint64{1, 2})
		time.Sleep(time.Second)
		for n, i := range instances {
			assert.Assert(t, i.dispatcher.HasBlockRecords(), "instance %d", n)
			assert.Equal(t, i.dispatcher.DecideBlocks([]uint64{1, 2}), isolator.Allowed, "instance %d", n)
		}
		time.Sleep(15 * time.Second)
		for n, i := range instances {
			assert.Assert(t, !i.dispatcher.HasBlockRecords(), "instance %d", n)
		}
	})
}
