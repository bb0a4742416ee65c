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
	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// fakeStore is a platform that answers reads of the configuration after answerDelay,
// with an error while unavailable is set, and counts them. Its registry has two pages,
// with one entry that cannot be decoded.
type fakeStore struct {
	mu          sync.Mutex
	onlyNew     bool // the registry has only one endpoint, new
	getCount    int
	version     uint64
	epoch       uint64
	answerDelay time.Duration
	unavailable bool
	listedEpoch uint64 // of the registry's second page
}

// update changes the store while a watcher uses it.
func (s *fakeStore) update(change func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *fakeStore) Get(ctx context.Context, _, name string) (storer.Object, error) {
	s.mu.Lock()
	s.getCount++
	version, epoch, unavailable, answerDelay := s.version, s.epoch, s.unavailable, s.answerDelay
	s.mu.Unlock()
	select {
	case <-time.After(answerDelay):
	case <-ctx.Done():
	}
	if unavailable {
		return storer.Object{}, storer.ErrUnavailable
	}

	return storer.Object{Name: name, Version: version, Epoch: epoch}, nil
}

func (s *fakeStore) List(_ context.Context, _, after string, _ int) (storer.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return storer.Page{}, storer.ErrUnavailable
	}
	if s.onlyNew {
		return storer.Page{Items: []storer.Object{{Name: "new"}}}, nil
	}
	if after == "" {
		return storer.Page{Items: []storer.Object{{Name: "a"}, {Name: "bad"}}, HasMore: true, LastName: "bad"}, nil
	}

	return storer.Page{Items: []storer.Object{{Name: "c"}}, Epoch: s.listedEpoch}, nil
}

type fakeDecoder struct{}

func (fakeDecoder) ConfigurationKindAndName() (kind, name string) { return "configurations", "main" }
func (fakeDecoder) EndpointKind() string                          { return "endpoints" }

// DecodeConfiguration returns a configuration with a number that differs between the
// epochs of a version.
func (fakeDecoder) DecodeConfiguration(object storer.Object) (matcher.Configuration, error) {
	return matcher.Configuration{Number: object.Version + 100*object.Epoch}, nil
}

func (fakeDecoder) DecodeEndpoint(object storer.Object) (registrar.Endpoint, error) {
	if object.Name == "bad" {
		return registrar.Endpoint{}, errors.New("unreadable")
	}

	return registrar.Endpoint{ID: object.Name}, nil
}

// recordedVersions is a record of all versions.
type recordedVersions struct{}

func (recordedVersions) Admit(_ context.Context, _ uint64, endpoints []registrar.Endpoint, _ func(registrar.Endpoint) bool) []registrar.Endpoint {
	return endpoints
}

// runWatcher runs a test in virtual time with a watcher of an instance of the given
// rank. The test gets the dispatcher that the watcher passes its data to, and a clock
// that also counts suspended time.
func runWatcher(t *testing.T, s *fakeStore, rank int, test func(*testing.T, *dispatcher.Dispatcher, func() time.Duration)) {
	t.Helper()
	runWatcherWith(t, s, recordedVersions{}, rank, test)
}

// runWatcherWith is runWatcher with a record of versions.
func runWatcherWith(t *testing.T, s *fakeStore, versions watcher.VersionRecord, rank int, test func(*testing.T, *dispatcher.Dispatcher, func() time.Duration)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		sinceBoot := func() time.Duration { return time.Since(startedAt) + time.Hour }
		d := dispatcher.New(dispatcher.Settings{KeyLeaseDuration: 5 * time.Second}, dispatcher.Clock{Now: time.Now, SinceBoot: sinceBoot}, hclog.NewNullLogger())
		w := watcher.New(watcher.ReadPolicies{Configuration: watcher.DefaultReadPolicy(), Endpoints: watcher.DefaultReadPolicy()}, s, fakeDecoder{}, versions, d, hclog.NewNullLogger())
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = d.Serve(ctx) }()
		d.SetFleet(dispatcher.Fleet{InstanceCount: rank + 1, Rank: rank})
		go func() { _ = w.Serve(ctx) }()
		test(t, d, sinceBoot)
		cancel()
		<-w.Done()
	})
}

// Guards against an older configuration staying in force, and being confirmed, because the
// store came back from a copy and gave its version out again for a newer one.
func TestVersionOfAnotherEpochIsDecodedAgain(t *testing.T) {
	s := &fakeStore{version: 3}
	runWatcher(t, s, 0, func(t *testing.T, d *dispatcher.Dispatcher, _ func() time.Duration) {
		time.Sleep(time.Second)
		assert.Equal(t, d.Matcher().Number(), uint64(3))
		s.update(func(s *fakeStore) { s.epoch = 1 })
		time.Sleep(time.Second)
		assert.Equal(t, d.Matcher().Number(), uint64(103))
	})
}

func TestWatcherReadsAtStartAndWhenDataAges(t *testing.T) {
	s := &fakeStore{version: 3, answerDelay: 5 * time.Millisecond}
	runWatcher(t, s, 0, func(t *testing.T, d *dispatcher.Dispatcher, _ func() time.Duration) {
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, d.IsReady())
		assert.Equal(t, d.Matcher().Number(), uint64(3))
		_, registry := d.Snapshot()
		assert.Equal(t, len(registry.Endpoints), 2, "the unreadable entry is left out, the next page read")
		s.update(func(s *fakeStore) { s.version = 4 })
		time.Sleep(time.Second)
		assert.Equal(t, d.Matcher().Number(), uint64(4))
	})
	assert.Assert(t, s.getCount >= 2 && s.getCount <= 4, "%d reads in a second", s.getCount)
}

// While the platform answers, an instance of any rank applies a change of the
// configuration within two seconds.
func TestChangeIsAppliedWithinTwoSecondsAtEveryRank(t *testing.T) {
	for _, rank := range []int{0, 1, 2, 50} {
		s := &fakeStore{version: 1, answerDelay: 250 * time.Millisecond}
		runWatcher(t, s, rank, func(t *testing.T, d *dispatcher.Dispatcher, _ func() time.Duration) {
			for round := range uint64(5) {
				time.Sleep(700 * time.Millisecond)
				s.update(func(s *fakeStore) { s.version = round + 2 })
				time.Sleep(2 * time.Second)
				assert.Equal(t, d.Matcher().Number(), round+2)
			}
		})
	}
}

// A read confirms the configuration from the time at which it was sent, however long
// the answer takes.
func TestSlowReadConfirmsFromTimeOfSending(t *testing.T) {
	s := &fakeStore{version: 1, answerDelay: 4 * time.Second}
	runWatcher(t, s, 0, func(t *testing.T, d *dispatcher.Dispatcher, _ func() time.Duration) {
		time.Sleep(4*time.Second + 10*time.Millisecond)
		assert.Assert(t, d.IsConfigurationFresh())
		s.update(func(s *fakeStore) { s.unavailable = true })
		time.Sleep(time.Second)
		assert.Assert(t, !d.IsConfigurationFresh())
	})
}

func TestReadsAreLimitedDuringOutage(t *testing.T) {
	s := &fakeStore{version: 1}
	runWatcher(t, s, 0, func(_ *testing.T, _ *dispatcher.Dispatcher, _ func() time.Duration) {
		time.Sleep(time.Second)
		s.update(func(s *fakeStore) { s.getCount, s.unavailable = 0, true })
		time.Sleep(20 * time.Second)
	})
	assert.Assert(t, s.getCount < 30, "%d reads in 20 s of outage", s.getCount)
}

// slowRecord is a record of versions that has none of the endpoint "new", and that takes long to
// say so.
type slowRecord struct{}

func (slowRecord) Admit(_ context.Context, _ uint64, endpoints []registrar.Endpoint, _ func(registrar.Endpoint) bool) []registrar.Endpoint {
	if endpoints[0].ID != "new" {
		return endpoints
	}
	time.Sleep(400 * time.Millisecond)

	return nil
}

// takesRequests reports whether a request may go to an endpoint.
func takesRequests(d *dispatcher.Dispatcher, id string) bool {
	isRegistered, isCurrent := d.MaySend(dispatcher.Placement{Choice: placer.Choice{EndpointID: id}})

	return isRegistered && isCurrent
}

// Guards against callers who are not served while the platform is lost, because its failed reads are
// not known where the age of the registry is limited.
func TestRegistryIsUsedAtAnyAgeWhileReadsFail(t *testing.T) {
	s := &fakeStore{version: 1}
	runWatcher(t, s, 0, func(t *testing.T, d *dispatcher.Dispatcher, _ func() time.Duration) {
		d.Configure(dispatcher.Settings{KeyLeaseDuration: 5 * time.Second, MaxConfigurationAge: 1750 * time.Millisecond, MaxEndpointsAge: 1750 * time.Millisecond})
		time.Sleep(time.Second)
		s.update(func(s *fakeStore) { s.unavailable = true })
		time.Sleep(10 * time.Second)
		assert.Assert(t, takesRequests(d, "a") && d.AwaitConfiguration(t.Context()))
		assert.Assert(t, !d.IsConfigurationYoung())
	})
}

// Guards against requests to endpoints that are gone, because the listing that says so has new
// endpoints whose versions are not recorded yet, or only such.
func TestDeparturesDoNotWaitForTheRecordOfVersions(t *testing.T) {
	s := &fakeStore{version: 1}
	runWatcherWith(t, s, slowRecord{}, 0, func(t *testing.T, d *dispatcher.Dispatcher, _ func() time.Duration) {
		time.Sleep(time.Second)
		assert.Assert(t, takesRequests(d, "a"))
		s.update(func(s *fakeStore) { s.onlyNew = true })
		time.Sleep(550 * time.Millisecond)
		assert.Assert(t, !takesRequests(d, "a"))
		s.update(func(s *fakeStore) { s.onlyNew = false })
		time.Sleep(time.Second)
		assert.Assert(t, takesRequests(d, "a"), "the registry is as before")
	})
}

// failureCounter is a control that counts failed reads of the registry.
type failureCounter struct {
	*dispatcher.Dispatcher

	mu       sync.Mutex
	failures int
}

func (c *failureCounter) RecordFailedListing(sentAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures++
	c.Dispatcher.RecordFailedListing(sentAt)
}

// Guards against a store that came back from a copy amid a listing counting as one that cannot be reached: an old
// registry would be used then, and endpoints that are gone kept.
func TestEpochThatChangesBetweenPagesIsNoFailedRead(t *testing.T) {
	for name, test := range map[string]struct {
		store        *fakeStore
		wantFailures bool
	}{
		"epoch changes": {&fakeStore{listedEpoch: 1}, false}, "unavailable": {&fakeStore{unavailable: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				startedAt := time.Now()
				sinceBoot := func() time.Duration { return time.Since(startedAt) + time.Hour }
				control := &failureCounter{Dispatcher: dispatcher.New(dispatcher.Settings{}, dispatcher.Clock{Now: time.Now, SinceBoot: sinceBoot}, hclog.NewNullLogger())}
				w := watcher.New(watcher.ReadPolicies{Configuration: watcher.DefaultReadPolicy(), Endpoints: watcher.DefaultReadPolicy()}, test.store, fakeDecoder{}, recordedVersions{}, control, hclog.NewNullLogger())
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_ = w.Serve(ctx)
				assert.Equal(t, control.failures > 0, test.wantFailures)
			})
		})
	}
}
