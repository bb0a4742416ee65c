package archiver_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/archiver"
	"github.com/oleanderpick/oleanderpick/internal/lab/keeper"
	"github.com/oleanderpick/oleanderpick/internal/lab/piper"
	"github.com/oleanderpick/oleanderpick/internal/storer"
	"github.com/oleanderpick/oleanderpick/pkg/isolator"
)

const (
	archiveKind = "quarantine-of-ours"
	poison      = 1<<63 + 7
)

// quarantine is an instance's isolator, as the archiver uses it.
type quarantine struct {
	mu       sync.Mutex
	isolator *isolator.Isolator
	isFirst  bool
}

func (q *quarantine) QuarantinedBlocks() ([]isolator.Record, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.isolator.CauseRecords(time.Now()), q.isFirst
}

func (q *quarantine) RestoreBlocks(records []isolator.Record) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.isolator.Merge(time.Now(), records)
}

func (q *quarantine) verdict() isolator.Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.isolator.Decide(time.Now(), []uint64{1, poison})
}

// crash records two crashes of endpoints that ran requests with the poison block.
func (q *quarantine) crash() {
	for _, endpoint := range []string{"e1", "e2"} {
		q.mu.Lock()
		q.isolator.RecordCrash(time.Now(), time.Now(), endpoint, []isolator.Prompt{{Blocks: []uint64{poison}}})
		q.mu.Unlock()
		time.Sleep(time.Second)
	}
}

// complete records a completed request with the poison block.
func (q *quarantine) complete() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.isolator.RecordCompletion(time.Now(), []uint64{poison})
}

// harness is a stand-in for the platform with archivers on an in-memory network.
type harness struct {
	platform *keeper.Keeper
	client   *http.Client
}

// runWithPlatform runs a test with a new harness in virtual time.
func runWithPlatform(t *testing.T, test func(*harness)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		network := piper.New()
		h := &harness{platform: keeper.New(keeper.Settings{}), client: network.Client()}
		network.Serve("store", h.platform.Handler())
		defer func() {
			h.client.CloseIdleConnections()
			network.Close()
			time.Sleep(time.Minute)
		}()
		test(h)
	})
}

// start starts an instance's archiver and returns a function that stops it.
func (h *harness) start(isFirst bool) (q *quarantine, stop func()) {
	q = &quarantine{isolator: isolator.New(isolator.DefaultSettings(), "instance"), isFirst: isFirst}
	ctx, cancel := context.WithCancel(context.Background())
	a := archiver.New(archiver.Settings{
		Kind: archiveKind, CheckInterval: archiver.DefaultCheckInterval, RewriteInterval: archiver.DefaultRewriteInterval,
	}, storer.New("http://store", h.client), q, hclog.NewNullLogger())
	go func() { _ = a.Serve(ctx) }()
	time.Sleep(100 * time.Millisecond)

	return q, func() {
		cancel()
		<-a.Done()
	}
}

// Guards against a quarantine that is forgotten when all instances restart at once, so that
// the block crashes endpoints again.
func TestQuarantineOutlastsRestartOfAllInstances(t *testing.T) {
	runWithPlatform(t, func(h *harness) {
		first, stopFirst := h.start(true)
		_, stopOther := h.start(false)
		first.crash()
		time.Sleep(2 * time.Second)
		stopFirst()
		stopOther()
		for _, isFirst := range []bool{true, false} {
			restarted, stop := h.start(isFirst)
			assert.Equal(t, restarted.verdict(), isolator.Quarantined)
			stop()
		}
	})
}

// A quarantine that has ended is not restored.
func TestEndedQuarantineIsNotRestored(t *testing.T) {
	runWithPlatform(t, func(h *harness) {
		first, stop := h.start(true)
		first.crash()
		time.Sleep(2 * time.Second)
		first.complete()
		time.Sleep(2 * time.Second)
		stop()
		restarted, stop := h.start(true)
		assert.Equal(t, restarted.verdict(), isolator.Allowed)
		stop()
	})
}

// Without blocks in quarantine nothing is written; an instance that is not the first never
// writes.
func TestOnlyTheFirstInstanceWritesAndOnlyChanges(t *testing.T) {
	runWithPlatform(t, func(h *harness) {
		first, stopFirst := h.start(true)
		other, stopOther := h.start(false)
		time.Sleep(time.Minute)
		other.crash()
		time.Sleep(time.Minute)
		assert.Equal(t, h.platform.Audit()["PUT "+archiveKind], 0)
		first.crash()
		time.Sleep(30 * time.Second)
		assert.Equal(t, h.platform.Audit()["PUT "+archiveKind], 1)
		time.Sleep(time.Minute)
		assert.Equal(t, h.platform.Audit()["PUT "+archiveKind], 2, "written again, in case it is lost")
		stopFirst()
		stopOther()
	})
}

// An instance that starts while the platform is away reads the archive afterwards, and does
// not replace it before.
func TestArchiveIsReadAfterAnOutage(t *testing.T) {
	runWithPlatform(t, func(h *harness) {
		first, stop := h.start(true)
		first.crash()
		time.Sleep(2 * time.Second)
		stop()
		h.platform.SetFaults(keeper.Faults{Outage: true})
		restarted, stop := h.start(true)
		time.Sleep(10 * time.Second)
		assert.Equal(t, restarted.verdict(), isolator.Allowed)
		h.platform.SetFaults(keeper.Faults{})
		time.Sleep(5 * time.Second)
		assert.Equal(t, restarted.verdict(), isolator.Quarantined)
		stop()
	})
}
