package reloader_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/common/reloader"
)

// Settings that change without a signal are taken in, those that cannot be read
// leave the last ones in force, and the same ones change nothing.
func TestSettingsAreTakenInWithoutASignal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var (
			written = "a"
			broken  error
			applied []string
		)
		r := reloader.New(2*time.Second, written, func() (string, error) { return written, broken },
			func(settings string) { applied = append(applied, settings) }, hclog.NewNullLogger())
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = r.Serve(ctx) }()
		settle := func() {
			time.Sleep(5 * time.Second)
			synctest.Wait()
		}
		settle()
		assert.Equal(t, len(applied), 0)
		written = "b"
		settle()
		assert.DeepEqual(t, applied, []string{"b"})
		written, broken = "", errors.New("half written")
		settle()
		assert.DeepEqual(t, applied, []string{"b"})
		written, broken = "c", nil
		r.Prompt()
		synctest.Wait()
		assert.DeepEqual(t, applied, []string{"b", "c"})
		cancel()
		<-r.Done()
	})
}
