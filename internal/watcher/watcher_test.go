package watcher_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/internal/storer"
	"github.com/oleanderpick/oleanderpick/internal/watcher"
	"github.com/oleanderpick/oleanderpick/pkg/matcher"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// store is a platform whose answers take some time.
type store struct {
	mu      sync.Mutex
	gets    int
	version uint64
	answer  time.Duration
	down    bool
}

func (s *store) set(change func(*store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *store) Get(ctx context.Context, _, name string) (storer.Object, error) {
	s.mu.Lock()
	s.gets++
	version, down, answer := s.version, s.down, s.answer
	s.mu.Unlock()
	select {
	case <-time.After(answer):
	case <-ctx.Done():
	}
	if down {
		return storer.Object{}, storer.ErrUnavailable
	}

	return storer.Object{Name: name, Version: version}, nil
}

func (s *store) List(_ context.Context, _, after string, _ int) (storer.Page, error) {
	if after == "" {
		return storer.Page{Items: []storer.Object{{Name: "a"}, {Name: "bad"}}, HasMore: true}, nil
	}

	return storer.Page{Items: []storer.Object{{Name: "c"}}}, nil
}

type reader struct{}

func (reader) ConfigurationKindAndName() (kind, name string) { return "configurations", "main" }
func (reader) EndpointKind() string                          { return "endpoints" }

func (reader) DecodeConfiguration(object storer.Object) (matcher.Configuration, error) {
	return matcher.Configuration{Number: object.Version}, nil
}

func (reader) DecodeEndpoint(object storer.Object) (registrar.Endpoint, error) {
	if object.Name == "bad" {
		return registrar.Endpoint{}, errors.New("unreadable")
	}

	return registrar.Endpoint{ID: object.Name}, nil
}

// watch runs a watcher of the rank for a time, in virtual time.
func watch(t *testing.T, s *store, rank int, test func(*testing.T, *dispatcher.Dispatcher, func() time.Duration)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		boot := func() time.Duration { return time.Since(begun) + time.Hour }
		control := dispatcher.New(dispatcher.Settings{KeyLeaseDuration: 5 * time.Second}, dispatcher.Clock{Now: time.Now, SinceBoot: boot}, hclog.NewNullLogger())
		w := watcher.New(watcher.DefaultPace(), s, reader{}, control, hclog.NewNullLogger())
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = control.Serve(ctx) }()
		control.SetInstanceCountAndRank(rank+1, rank)
		go func() { _ = w.Serve(ctx) }()
		test(t, control, boot)
		cancel()
		<-w.Done()
	})
}

func TestReadsAtStartAndInTurn(t *testing.T) {
	s := &store{version: 3, answer: 5 * time.Millisecond}
	watch(t, s, 0, func(t *testing.T, control *dispatcher.Dispatcher, _ func() time.Duration) {
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, control.IsReady())
		assert.Equal(t, control.Matcher().Number(), uint64(3))
		_, registry := control.Snapshot()
		assert.Equal(t, len(registry.Endpoints), 2, "the unreadable entry is left out, the next page read")
		s.set(func(s *store) { s.version = 4 })
		time.Sleep(time.Second)
		assert.Equal(t, control.Matcher().Number(), uint64(4))
	})
	assert.Assert(t, s.gets >= 2 && s.gets <= 4, "%d reads in a second", s.gets)
}

// A change is known within two seconds whatever the rank, while the platform
// answers.
func TestChangeIsKnownInTimeAtEveryRank(t *testing.T) {
	for _, rank := range []int{0, 1, 2, 50} {
		s := &store{version: 1, answer: 250 * time.Millisecond}
		watch(t, s, rank, func(t *testing.T, control *dispatcher.Dispatcher, _ func() time.Duration) {
			for round := range uint64(5) {
				time.Sleep(700 * time.Millisecond)
				s.set(func(s *store) { s.version = round + 2 })
				time.Sleep(2 * time.Second)
				assert.Equal(t, control.Matcher().Number(), round+2)
			}
		})
	}
}

// Confirmations count from the moment the read was sent, however long the
// answer takes.
func TestSlowAnswerConfirmsFromItsSending(t *testing.T) {
	s := &store{version: 1, answer: 4 * time.Second}
	watch(t, s, 0, func(t *testing.T, control *dispatcher.Dispatcher, _ func() time.Duration) {
		time.Sleep(4*time.Second + 10*time.Millisecond)
		assert.Assert(t, control.IsConfigurationFresh())
		s.set(func(s *store) { s.down = true })
		time.Sleep(time.Second)
		assert.Assert(t, !control.IsConfigurationFresh())
	})
}

func TestOutageIsNotHammered(t *testing.T) {
	s := &store{version: 1}
	watch(t, s, 0, func(_ *testing.T, _ *dispatcher.Dispatcher, _ func() time.Duration) {
		time.Sleep(time.Second)
		s.set(func(s *store) { s.gets, s.down = 0, true })
		time.Sleep(20 * time.Second)
	})
	assert.Assert(t, s.gets < 30, "%d reads in 20 s of outage", s.gets)
}
