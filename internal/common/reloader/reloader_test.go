package reloader_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/common/reloader"
)

// settingsFile simulates a settings file and records the settings that were applied.
type settingsFile struct {
	mu       sync.Mutex
	contents string
	readErr  error
	applied  []string
}

func (f *settingsFile) write(contents string, readErr error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.contents, f.readErr = contents, readErr
}

func (f *settingsFile) read() (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.contents, f.readErr
}

func (f *settingsFile) apply(settings string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applied = append(f.applied, settings)
}

func (f *settingsFile) appliedSettings() string {
	f.mu.Lock()
	defer f.mu.Unlock()

	return strings.Join(f.applied, " ")
}

// Changed settings are applied without a signal, or at once on request. Settings that
// cannot be read leave the previous ones in force, and unchanged ones are not applied
// again.
func TestChangedSettingsAreAppliedWithoutASignal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &settingsFile{contents: "a"}
		r := reloader.New(2*time.Second, "a", f.read, f.apply, hclog.NewNullLogger())
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = r.Serve(ctx) }()
		waitForReads := func() {
			time.Sleep(5 * time.Second)
			synctest.Wait()
		}
		waitForReads()
		assert.Equal(t, f.appliedSettings(), "")
		f.write("b", nil)
		waitForReads()
		assert.Equal(t, f.appliedSettings(), "b")
		f.write("", errors.New("half written"))
		waitForReads()
		assert.Equal(t, f.appliedSettings(), "b")
		f.write("c", nil)
		r.RequestReload()
		synctest.Wait()
		assert.Equal(t, f.appliedSettings(), "b c")
		cancel()
		<-r.Done()
	})
}
