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

// file is settings that somebody writes, and what was applied of them.
type file struct {
	mu      sync.Mutex
	written string
	broken  error
	applied []string
}

func (f *file) write(settings string, broken error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.written, f.broken = settings, broken
}

func (f *file) read() (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.written, f.broken
}

func (f *file) apply(settings string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applied = append(f.applied, settings)
}

func (f *file) inForce() string {
	f.mu.Lock()
	defer f.mu.Unlock()

	return strings.Join(f.applied, " ")
}

// Settings that change without a signal are taken in, those that cannot be read
// leave the last ones in force, and the same ones change nothing.
func TestSettingsAreTakenInWithoutASignal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &file{written: "a"}
		r := reloader.New(2*time.Second, "a", f.read, f.apply, hclog.NewNullLogger())
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = r.Serve(ctx) }()
		settle := func() {
			time.Sleep(5 * time.Second)
			synctest.Wait()
		}
		settle()
		assert.Equal(t, f.inForce(), "")
		f.write("b", nil)
		settle()
		assert.Equal(t, f.inForce(), "b")
		f.write("", errors.New("half written"))
		settle()
		assert.Equal(t, f.inForce(), "b")
		f.write("c", nil)
		r.RequestReload()
		synctest.Wait()
		assert.Equal(t, f.inForce(), "b c")
		cancel()
		<-r.Done()
	})
}
