package chronicler_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/chronicler"
	"github.com/oleanderpick/oleanderpick/internal/storer"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// memoryStore is a platform that keeps one object and answers after a while.
type memoryStore struct {
	mu            sync.Mutex
	object        storer.Object
	refusesWrites bool
	reads         int
	listed        map[string][]string // versions in the registry by service
	listErr       error
}

const answerDelay = 4 * time.Millisecond

func (s *memoryStore) Get(context.Context, string, string) (storer.Object, error) {
	time.Sleep(answerDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.object.Version == 0 {
		return storer.Object{}, storer.ErrNotFound
	}

	return s.object, nil
}

func (s *memoryStore) Put(_ context.Context, _, _ string, spec json.RawMessage, condition storer.Condition) (storer.Object, error) {
	time.Sleep(answerDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	expected, _ := condition.ExpectedVersion()
	switch {
	case s.refusesWrites:
		return storer.Object{}, storer.ErrUnavailable
	case expected != s.object.Version:
		return storer.Object{}, &storer.ConflictError{Current: s.object}
	}
	s.object = storer.Object{Version: s.object.Version + 1, Spec: spec}

	return s.object, nil
}

// ListVersions returns the versions of the registry.
func (s *memoryStore) ListVersions(context.Context) (versions map[string][]string, epoch uint64, err error) {
	time.Sleep(answerDelay)
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.listed, 0, s.listErr
}

func newChronicler(s *memoryStore) *chronicler.Chronicler {
	c := chronicler.New(chronicler.Settings{Kind: "versions", FirstStart: true, LongestStream: func() time.Duration { return time.Minute }}, s, hclog.NewNullLogger())
	c.SetLister(s)

	return c
}

func listing(versions ...string) (endpoints []registrar.Endpoint) {
	for _, version := range versions {
		endpoints = append(endpoints, registrar.Endpoint{ID: "e" + version, Service: "s", Version: version})
	}

	return endpoints
}

func noneInUse(registrar.Endpoint) bool { return false }

// Guards against a stream that begins at a version before it is recorded, and against endpoints
// of a new version that disappear while two instances record it.
func TestEndpointsAreAdmittedOnceTheirVersionIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &memoryStore{}
		a, b := newChronicler(s), newChronicler(s)
		for _, c := range []*chronicler.Chronicler{a, b} {
			assert.Equal(t, len(c.Admit(t.Context(), 0, listing("v1"), noneInUse)), 1)
		}
		version, ok, err := b.OnlyVersion(t.Context(), "s")
		assert.Assert(t, err == nil && ok && version == "v1")
		assert.Equal(t, len(a.Admit(t.Context(), 0, listing("v1", "v2"), noneInUse)), 2)
		assert.Equal(t, len(b.Admit(t.Context(), 0, listing("v1", "v2"), noneInUse)), 2, "another instance wrote the record")
		_, ok, err = b.OnlyVersion(t.Context(), "s")
		assert.Assert(t, err == nil && !ok)
	})
}

// Guards against callers that are not served since the record cannot be written, and against
// endpoints in use that are dropped meanwhile.
func TestEndpointsAreUsedIfTheRecordCannotBeWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &memoryStore{}
		c := newChronicler(s)
		assert.Equal(t, len(c.Admit(t.Context(), 0, listing("v1"), noneInUse)), 1)
		s.refusesWrites = true
		isInUse := func(endpoint registrar.Endpoint) bool { return endpoint.Version == "v2" }
		assert.DeepEqual(t, c.Admit(t.Context(), 0, listing("v1", "v2", "v3"), isInUse), listing("v1", "v2"))
		time.Sleep(4 * time.Second)
		assert.DeepEqual(t, c.Admit(t.Context(), 0, listing("v1", "v2", "v3"), isInUse), listing("v1", "v2", "v3"))
	})
}

// Guards against a read of the record that was sent before a stream began, and against a read for
// each of many streams that are taken up at once.
func TestReadsOfTheRecordAreSharedAndNotOlderThanTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &memoryStore{}
		c := newChronicler(s)
		c.Admit(t.Context(), 0, listing("v1"), noneInUse)
		s.reads = 0
		var callers sync.WaitGroup
		for range 50 {
			callers.Go(func() { _, _, _ = c.OnlyVersion(context.Background(), "s") })
		}
		time.Sleep(answerDelay / 2)
		s.mu.Lock()
		s.object.Spec = json.RawMessage(`{"versions":{"s":["v1","v2"]}}`)
		s.mu.Unlock()
		_, ok, err := c.OnlyVersion(t.Context(), "s")
		assert.Assert(t, err == nil && !ok)
		callers.Wait()
		assert.Assert(t, s.reads <= 3, "%d reads", s.reads)
	})
}

// Guards against a stream that goes on at another version, since the record lacks one that is in use: it
// could not be written when endpoints of that version joined.
func TestVersionInTheRegistryIsNotTheOnlyOneWithoutARecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &memoryStore{listed: map[string][]string{"s": {"v1", "v1"}}}
		c := newChronicler(s)
		c.Admit(t.Context(), 0, listing("v1"), noneInUse)
		version, ok, err := c.OnlyVersion(t.Context(), "s")
		assert.Assert(t, err == nil && ok && version == "v1")
		s.listed = map[string][]string{"s": {"v1", "v2"}}
		_, ok, err = c.OnlyVersion(t.Context(), "s")
		assert.Assert(t, err == nil && !ok)
		s.listErr = storer.ErrUnavailable
		_, _, err = c.OnlyVersion(t.Context(), "s")
		assert.ErrorIs(t, err, storer.ErrUnavailable)
	})
}
