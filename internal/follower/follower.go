// Package follower keeps one instance's configuration up to date. It watches the head
// in the platform's store, receives the numbers of newer revisions from peers, fetches
// the parts of a revision, and applies only revisions with a higher number.
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
	watchTimeout    = 30 * time.Second // longest wait of one watch call to the store
	watchRetryDelay = 1 * time.Second  // wait after a failed watch call
	tickInterval    = 1 * time.Second
	fetchTimeout    = 5 * time.Second
	eventBufferSize = 256
)

// Store reads objects from the platform's store.
type Store interface {
	Get(ctx context.Context, kind, name string) (storer.Object, error)
	Watch(ctx context.Context, kind, name string, version uint64, wait time.Duration) (storer.Object, bool, error)
}

// PeerFetcher fetches from the peer at the address the encoded head that it has in
// force, and the contents of the parts with the given hashes.
type PeerFetcher interface {
	Fetch(ctx context.Context, address string, hashes []string) (head []byte, parts map[string][]byte, err error)
}

// Follower keeps the configuration in force up to date. Its exported methods, apart from
// SetPeerFetcher, are safe for concurrent use.
type Follower struct {
	store       Store
	peerFetcher PeerFetcher
	onApply     func(*resolver.Resolver)
	meter       *meter.Meter
	logger      hclog.Logger
	events      chan func(now time.Time)
	done        chan struct{}

	resolver atomic.Pointer[resolver.Resolver]
	revision atomic.Pointer[reviser.Revision]
	head     atomic.Pointer[reviser.Head]

	// Only the goroutine of Serve uses the fields below.
	applier       *reviser.Applier
	peerAddresses map[string]string
}

// New returns a follower that calls onApply with each revision that it puts in force.
// SetPeerFetcher must be called before Serve.
func New(store Store, onApply func(*resolver.Resolver), counters *meter.Meter, logger hclog.Logger) *Follower {
	return &Follower{
		store:         store,
		onApply:       onApply,
		meter:         counters,
		logger:        logger,
		events:        make(chan func(time.Time), eventBufferSize),
		done:          make(chan struct{}),
		applier:       reviser.New(),
		peerAddresses: map[string]string{},
	}
}

// SetPeerFetcher sets the fetcher by which heads and parts are read from peers.
func (f *Follower) SetPeerFetcher(fetcher PeerFetcher) {
	f.peerFetcher = fetcher
}

// Resolver returns the resolver of the revision in force, or nil if there is none yet.
func (f *Follower) Resolver() *resolver.Resolver {
	return f.resolver.Load()
}

// RevisionNumber returns the number of the revision in force, or 0 if there is none yet.
func (f *Follower) RevisionNumber() uint64 {
	if current := f.resolver.Load(); current != nil {
		return current.RevisionNumber()
	}

	return 0
}

// Revision returns the revision in force, or an empty one if there is none yet.
func (f *Follower) Revision() reviser.Revision {
	if revision := f.revision.Load(); revision != nil {
		return *revision
	}

	return reviser.Revision{}
}

// String returns the name under which the supervisor logs the follower.
func (f *Follower) String() string {
	return "follower"
}

// Done returns a channel that is closed when Serve has ended.
func (f *Follower) Done() <-chan struct{} {
	return f.done
}

// Serve watches the head and applies new revisions until ctx ends, and returns the
// error of ctx.
func (f *Follower) Serve(ctx context.Context) error {
	go f.watchHead(ctx)
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
			f.performActions(ctx, f.applier.Tick(now))
		}
	}
}

func (f *Follower) sendEvent(event func(now time.Time)) {
	select {
	case f.events <- event:
	case <-f.done:
	}
}

// watchHead waits for changes of the head object in the store and passes each new head
// to the applier, until ctx ends.
func (f *Follower) watchHead(ctx context.Context) {
	version := uint64(0)
	for ctx.Err() == nil {
		object, changed, err := f.store.Watch(ctx, publisher.KindHead, publisher.HeadName, version, watchTimeout)
		if err != nil {
			f.meter.Add("store.watch-failed", 1)
			version = 0
			sleep(ctx, watchRetryDelay)
			continue
		}
		if !changed {
			continue
		}
		version = object.Version
		var head reviser.Head
		if err := json.Unmarshal(object.Spec, &head); err != nil {
			f.logger.Error("Cannot decode the configuration head.", "error", err)
			continue
		}
		f.sendEvent(func(now time.Time) {
			f.performActions(ctx, f.applier.ReceiveHead(now, head, reviser.SourceStore))
		})
	}
}

// sleep waits for the duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// RecordPeerRevision records that a peer has the revision with the given number in
// force. If it is newer than this instance's, the peer's head is fetched in the
// background.
func (f *Follower) RecordPeerRevision(peer tracker.Instance, revisionNumber uint64) {
	if revisionNumber <= f.RevisionNumber() {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		encodedHead, _, err := f.peerFetcher.Fetch(ctx, peer.PeerAddress, nil)
		if err != nil {
			return
		}
		var head reviser.Head
		if json.Unmarshal(encodedHead, &head) != nil {
			return
		}
		f.sendEvent(func(now time.Time) {
			f.peerAddresses[peer.Name] = peer.PeerAddress
			f.performActions(context.Background(), f.applier.ReceiveHead(now, head, peer.Name))
		})
	}()
}

// HeadAndParts returns the encoded head of the revision in force, and the contents of its
// parts with the given hashes. It returns nil if there is no revision yet.
func (f *Follower) HeadAndParts(hashes []string) (head []byte, parts map[string][]byte) {
	current := f.head.Load()
	if current == nil {
		return nil, nil
	}
	head, err := json.Marshal(current)
	if err != nil {
		return nil, nil
	}

	parts = map[string][]byte{}
	for _, part := range f.revision.Load().Parts {
		if slices.Contains(hashes, part.Hash) {
			parts[part.Hash] = part.Contents
		}
	}

	return head, parts
}

// performActions performs the actions that the applier returned.
func (f *Follower) performActions(ctx context.Context, actions []reviser.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case reviser.FetchPart:
			go f.fetchPart(ctx, action, f.peerAddresses[action.Source])
		case reviser.ApplyRevision:
			f.applyRevision(action.Revision)
		case reviser.ReportRefusal:
			f.meter.Add("revisions.refused", 1)
			f.logger.Warn("Revision refused.", "number", action.RevisionNumber, "from", action.Source, "reason", action.Reason)
		}
	}
}

// applyRevision puts a revision in force on this instance.
func (f *Follower) applyRevision(revision reviser.Revision) {
	next := resolver.New(revision.Number, revision.Resources())
	head := f.applier.Head()
	f.revision.Store(&revision)
	f.head.Store(&head)
	// The number is reported to peers only once requests are served by this revision.
	f.onApply(next)
	f.resolver.Store(next)
	f.meter.SetGauge("revision", int64(revision.Number))
	f.logger.Info("Revision in force.", "number", revision.Number)
}

// fetchPart fetches a part and passes the result to the applier.
func (f *Follower) fetchPart(ctx context.Context, action reviser.FetchPart, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	part, err := f.readPart(ctx, action, address)
	f.sendEvent(func(now time.Time) {
		if err != nil {
			f.applier.OnPartFetchFailed(now, action.Hash)

			return
		}
		f.performActions(context.WithoutCancel(ctx), f.applier.OnPartFetched(now, part))
	})
}

// readPart reads a part from the peer at the address or, if the action's source is the
// store, from the store.
func (f *Follower) readPart(ctx context.Context, action reviser.FetchPart, address string) (reviser.Part, error) {
	if action.Source != reviser.SourceStore {
		_, parts, err := f.peerFetcher.Fetch(ctx, address, []string{action.Hash})
		if err != nil {
			return reviser.Part{}, err
		}
		contents, ok := parts[action.Hash]
		if !ok {
			return reviser.Part{}, errors.Errorf("peer %s does not have part %s", action.Source, action.Hash)
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
