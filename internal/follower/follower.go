// Package follower keeps the configuration in force on one instance: it
// watches the head on the platform, hears of newer ones from peers, fetches
// their parts, and applies only higher numbers.
package follower

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/internal/publisher"
	"github.com/oleanderpick/oleanderpick/internal/resolver"
	"github.com/oleanderpick/oleanderpick/internal/storer"
	"github.com/oleanderpick/oleanderpick/pkg/reviser"
	"github.com/oleanderpick/oleanderpick/pkg/tracker"
)

const (
	watchWait    = 30 * time.Second
	watchPause   = 1 * time.Second
	tickInterval = 1 * time.Second
	fetchTimeout = 5 * time.Second
	eventBuffer  = 256
)

// Store is the part of the platform's object API that a follower reads.
type Store interface {
	Get(ctx context.Context, kind, name string) (storer.Object, error)
	Watch(ctx context.Context, kind, name string, version uint64, wait time.Duration) (storer.Object, bool, error)
}

// PeerFetcher gets the head and parts of a peer.
type PeerFetcher interface {
	Fetch(ctx context.Context, address string, hashes []string) (head []byte, parts map[string][]byte, err error)
}

// Follower holds the configuration in force. Its exported methods are safe for
// concurrent use.
type Follower struct {
	store  Store
	peers  PeerFetcher
	apply  func(*resolver.Resolver)
	meter  *meter.Meter
	logger hclog.Logger
	events chan func(now time.Time)
	done   chan struct{}

	current atomic.Pointer[resolver.Resolver]
	served  atomic.Pointer[reviser.Revision]
	head    atomic.Pointer[reviser.Head]

	// The rest belongs to the goroutine of Serve.
	applier   *reviser.Applier
	addresses map[string]string
}

// New returns a follower that calls apply with each revision that it puts in
// force. SetPeers must be called before Serve.
func New(store Store, apply func(*resolver.Resolver), counters *meter.Meter, logger hclog.Logger) *Follower {
	return &Follower{
		store:     store,
		apply:     apply,
		meter:     counters,
		logger:    logger,
		events:    make(chan func(time.Time), eventBuffer),
		done:      make(chan struct{}),
		applier:   reviser.New(),
		addresses: map[string]string{},
	}
}

// SetPeerFetcher says how to fetch from peers.
func (f *Follower) SetPeerFetcher(peers PeerFetcher) {
	f.peers = peers
}

// Resolver returns the configuration in force; nil before the first.
func (f *Follower) Resolver() *resolver.Resolver {
	return f.current.Load()
}

// RevisionNumber returns the number in force; 0 before the first.
func (f *Follower) RevisionNumber() uint64 {
	if known := f.current.Load(); known != nil {
		return known.RevisionNumber()
	}

	return 0
}

// Revision returns the revision in force.
func (f *Follower) Revision() reviser.Revision {
	if revision := f.served.Load(); revision != nil {
		return *revision
	}

	return reviser.Revision{}
}

// String returns the name that the supervisor logs.
func (f *Follower) String() string {
	return "follower"
}

// Done is closed when Serve has ended.
func (f *Follower) Done() <-chan struct{} {
	return f.done
}

// Serve follows the head until ctx ends.
func (f *Follower) Serve(ctx context.Context) error {
	go f.watch(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			close(f.done)

			return ctx.Err()
		case event := <-f.events:
			event(time.Now())
		case now := <-ticker.C:
			f.act(ctx, f.applier.Tick(now))
		}
	}
}

func (f *Follower) send(event func(now time.Time)) {
	select {
	case f.events <- event:
	case <-f.done:
	}
}

// watch waits for the head object to change, and reads it.
func (f *Follower) watch(ctx context.Context) {
	version := uint64(0)
	for ctx.Err() == nil {
		object, changed, err := f.store.Watch(ctx, publisher.KindHead, publisher.HeadName, version, watchWait)
		if err != nil {
			f.meter.Add("store.watch-failed", 1)
			version = 0
			rest(ctx, watchPause)
			continue
		}
		if !changed {
			continue
		}
		version = object.Version
		var head reviser.Head
		if err := json.Unmarshal(object.Spec, &head); err != nil {
			f.logger.Error("Head is not readable.", "error", err)
			continue
		}
		f.send(func(now time.Time) {
			f.act(ctx, f.applier.ReceiveHead(now, head, reviser.SourceStore))
		})
	}
}

func rest(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// RecordPeerRevision says that a peer has a revision of that number in force.
func (f *Follower) RecordPeerRevision(peer tracker.Instance, number uint64) {
	if number <= f.RevisionNumber() {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		encoded, _, err := f.peers.Fetch(ctx, peer.PeerAddress, nil)
		if err != nil {
			return
		}
		var head reviser.Head
		if json.Unmarshal(encoded, &head) != nil {
			return
		}
		f.send(func(now time.Time) {
			f.addresses[peer.Name] = peer.PeerAddress
			f.act(context.Background(), f.applier.ReceiveHead(now, head, peer.Name))
		})
	}()
}

// HeadAndParts returns the encoded head in force and the wanted parts of it.
func (f *Follower) HeadAndParts(hashes []string) (head []byte, parts map[string][]byte) {
	known := f.head.Load()
	if known == nil {
		return nil, nil
	}
	head, err := json.Marshal(known)
	if err != nil {
		return nil, nil
	}

	parts = map[string][]byte{}
	for _, part := range f.served.Load().Parts {
		if slices.Contains(hashes, part.Hash) {
			parts[part.Hash] = part.Contents
		}
	}

	return head, parts
}

// act carries out the applier's actions.
func (f *Follower) act(ctx context.Context, actions []reviser.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case reviser.FetchPart:
			go f.fetch(ctx, action, f.addresses[action.Source])
		case reviser.ApplyRevision:
			f.put(action.Revision)
		case reviser.ReportRefusal:
			f.meter.Add("revisions.refused", 1)
			f.logger.Warn("Revision refused.", "number", action.RevisionNumber, "from", action.Source, "reason", action.Reason)
		}
	}
}

// put puts a revision in force.
func (f *Follower) put(revision reviser.Revision) {
	next := resolver.New(revision.Number, revision.Resources())
	head := f.applier.Head()
	f.served.Store(&revision)
	f.head.Store(&head)
	// The number is told only when the decisions go by it.
	f.apply(next)
	f.current.Store(next)
	f.meter.Set("revision", int64(revision.Number))
	f.logger.Info("Revision in force.", "number", revision.Number)
}

func (f *Follower) fetch(ctx context.Context, action reviser.FetchPart, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	part, err := f.part(ctx, action, address)
	f.send(func(now time.Time) {
		if err != nil {
			f.applier.OnPartFetchFailed(now, action.Hash)

			return
		}
		f.act(context.WithoutCancel(ctx), f.applier.OnPartFetched(now, part))
	})
}

func (f *Follower) part(ctx context.Context, action reviser.FetchPart, address string) (reviser.Part, error) {
	if action.Source != reviser.SourceStore {
		_, parts, err := f.peers.Fetch(ctx, address, []string{action.Hash})
		if err != nil {
			return reviser.Part{}, err
		}
		contents, ok := parts[action.Hash]
		if !ok {
			return reviser.Part{}, errors.Errorf("peer %s lacks part %s", action.Source, action.Hash)
		}

		return reviser.Part{Hash: action.Hash, Contents: contents}, nil
	}

	object, err := f.store.Get(ctx, publisher.KindPart, action.Hash)
	if err != nil {
		return reviser.Part{}, err
	}
	var part reviser.Part
	if err := json.Unmarshal(object.Spec, &part); err != nil {
		return reviser.Part{}, errors.Wrap(err, "decode part")
	}

	return part, nil
}
