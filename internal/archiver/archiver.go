// Package archiver keeps the prompt blocks in quarantine on the platform, so that they are
// known after all instances have restarted.
//
// Each instance reads the archive when it starts. The first live instance by name writes it
// when the blocks in quarantine change, and now and then while there are any, in case the
// platform has lost it. Instances do not wait for the archive: they pass on what they know
// to each other.
package archiver

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/oleanderpick/oleanderpick/internal/blockencoder"
	"github.com/oleanderpick/oleanderpick/internal/blockencoder/blockwire"
	"github.com/oleanderpick/oleanderpick/internal/storer"
	"github.com/oleanderpick/oleanderpick/pkg/isolator"
)

// Store is the part of the platform's object API that the archiver uses.
type Store interface {
	Get(ctx context.Context, kind, name string) (storer.Object, error)
	Put(ctx context.Context, kind, name string, spec json.RawMessage, condition storer.Condition) (storer.Object, error)
}

// Quarantine holds the blocks in quarantine of this instance.
type Quarantine interface {
	// QuarantinedBlocks returns the records of the blocks in quarantine, and whether this
	// instance is the first live one by name.
	QuarantinedBlocks() (records []isolator.Record, isFirst bool)
	// RestoreBlocks adds records that were archived.
	RestoreBlocks(records []isolator.Record)
}

// Settings are the archive's place and the intervals of an Archiver.
type Settings struct {
	// Kind is the kind of the archive's object.
	Kind string
	// CheckInterval is the time between two looks at the blocks in quarantine, and between a
	// failed call and the next.
	CheckInterval time.Duration
	// RewriteInterval is the time after which an archive that is not empty is written again.
	RewriteInterval time.Duration
}

// Default values of the settings.
const (
	DefaultCheckInterval   = time.Second
	DefaultRewriteInterval = time.Minute
)

// objectName is the name of the archive's object.
const objectName = "blocks"

// Archiver reads and writes the archive for one instance.
type Archiver struct {
	settings   Settings
	store      Store
	quarantine Quarantine
	logger     hclog.Logger
	done       chan struct{}

	archived   string // summary of the blocks that the archive holds, as far as known
	archivedAt time.Time
}

// New returns an Archiver. Serve runs it.
func New(settings Settings, store Store, quarantine Quarantine, logger hclog.Logger) *Archiver {
	return &Archiver{settings: settings, store: store, quarantine: quarantine, logger: logger, done: make(chan struct{})}
}

// String returns the name under which the supervisor logs this service.
func (a *Archiver) String() string {
	return "archiver"
}

// Done returns a channel that is closed when Serve has ended.
func (a *Archiver) Done() <-chan struct{} {
	return a.done
}

// Serve reads the archive, and then keeps it up to date until ctx ends.
func (a *Archiver) Serve(ctx context.Context) error {
	defer close(a.done)
	ticker := time.NewTicker(a.settings.CheckInterval)
	defer ticker.Stop()
	isRestored := false
	for {
		if !isRestored {
			isRestored = a.restore(ctx) == nil
		}
		if isRestored {
			a.archiveChanges(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// restore reads the archive. It returns an error if the platform cannot be reached. An
// archive that cannot be decoded counts as empty.
func (a *Archiver) restore(ctx context.Context) error {
	object, err := a.store.Get(ctx, a.settings.Kind, objectName)
	if errors.Is(err, storer.ErrNotFound) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read the archive")
	}
	var archive blockwire.Archive
	if err := protojson.Unmarshal(object.Spec, &archive); err != nil {
		a.logger.Warn("The archive of quarantined blocks cannot be decoded.", "error", err)

		return nil
	}
	now := time.Now()
	// The clocks of instances differ, so an archive from the future counts as written now.
	age := max(0, now.Sub(time.UnixMilli(archive.GetSavedMs())))
	records := blockencoder.Decode(now.Add(-age), archive.GetBlocks())
	a.archived, a.archivedAt = summarize(records), now.Add(-age)
	if len(records) > 0 {
		a.quarantine.RestoreBlocks(records)
		a.logger.Info("Restored blocks in quarantine.", "blocks", a.archived, "age ms", age.Milliseconds())
	}

	return nil
}

// archiveChanges writes the archive if this instance is the one to do so, and if the blocks
// in quarantine differ from those in the archive or were archived too long ago.
func (a *Archiver) archiveChanges(ctx context.Context) {
	records, isFirst := a.quarantine.QuarantinedBlocks()
	summary := summarize(records)
	isDue := len(records) > 0 && time.Since(a.archivedAt) >= a.settings.RewriteInterval
	if !isFirst || (summary == a.archived && !isDue) {
		return
	}
	if err := a.write(ctx, records); err != nil {
		a.logger.Info("Cannot archive the blocks in quarantine; the call is repeated.", "blocks", summary, "error", err)

		return
	}
	a.logger.Info("Archived the blocks in quarantine.", "blocks", summary)
	a.archived, a.archivedAt = summary, time.Now()
}

// write replaces the archive.
func (a *Archiver) write(ctx context.Context, records []isolator.Record) error {
	now := time.Now()
	spec, err := protojson.Marshal(&blockwire.Archive{Blocks: blockencoder.Encode(now, records), SavedMs: now.UnixMilli()})
	if err != nil {
		return errors.Wrap(err, "encode the archive")
	}
	_, err = a.store.Put(ctx, a.settings.Kind, objectName, spec, storer.Always())
	if errors.Is(err, storer.ErrNotFound) {
		_, err = a.store.Put(ctx, a.settings.Kind, objectName, spec, storer.IfNotExists())
	}

	return err
}

// summarize returns a text that changes when the archive should be written again.
func summarize(records []isolator.Record) string {
	texts := make([]string, 0, len(records))
	for _, record := range records {
		texts = append(texts, fmt.Sprintf("%x:%d:%d", record.Block, len(record.Crashes), record.Trials))
	}

	return strings.Join(texts, " ")
}
