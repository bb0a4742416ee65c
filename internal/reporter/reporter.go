// Package reporter writes back what operators read: each instance writes what
// it counted as one object, and one instance adds them up and writes each
// class's condition into the status of its ServiceClass.
//
// Which instance adds up follows from the list of members; two that do so at
// once write the same. Nothing depends on these writes: when the platform is
// down they are left out, and the next ones cover the time.
package reporter

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/internal/publisher"
	"github.com/oleanderpick/oleanderpick/pkg/declarer"
	"github.com/oleanderpick/oleanderpick/pkg/summarizer"
)

const (
	// KindReport is the kind of the instances' reports.
	KindReport = "InstanceReport"
	// Section is the field of a ServiceClass's status that holds its
	// condition.
	Section = "condition"
	// forgotten is the number of rounds after which the report of an
	// instance that writes no more is deleted.
	forgotten = 4
	maxPages  = 16
)

// Store is the part of the platform that a reporter uses.
type Store interface {
	Get(ctx context.Context, kind, name string) (publisher.Object, error)
	List(ctx context.Context, kind, after string) (publisher.Page, error)
	Put(ctx context.Context, kind, name string, spec json.RawMessage, condition publisher.Condition) (publisher.Object, error)
	PutStatus(ctx context.Context, kind, name string, status json.RawMessage, condition publisher.Condition) (publisher.Object, error)
	Delete(ctx context.Context, kind, name string, condition publisher.Condition) error
}

// Settings of a Reporter.
type Settings struct {
	// Instance is this instance's name.
	Instance string
	// Interval is the time between two rounds.
	Interval time.Duration
}

// Chooser says whether this instance adds up at present.
type Chooser interface {
	IsResponsibleFor(task string) bool
}

// Reporter writes reports; Serve runs it.
type Reporter struct {
	settings Settings
	store    Store
	chooser  Chooser
	meter    *meter.Meter
	logger   hclog.Logger
	done     chan struct{}

	// The rest belongs to the goroutine of Serve.
	last  summarizer.Report
	since time.Time
	seen  map[string]sighting
}

// sighting is how many rounds ago a report's version was new.
type sighting struct {
	version uint64
	rounds  int
}

// New returns a reporter.
func New(settings Settings, store Store, chooser Chooser, counters *meter.Meter, logger hclog.Logger) *Reporter {
	return &Reporter{
		settings: settings,
		store:    store,
		chooser:  chooser,
		meter:    counters,
		logger:   logger,
		done:     make(chan struct{}),
		seen:     map[string]sighting{},
	}
}

// String returns the name that the supervisor logs.
func (r *Reporter) String() string {
	return "reporter"
}

// Done is closed when Serve has ended.
func (r *Reporter) Done() <-chan struct{} {
	return r.done
}

// Serve writes a report each interval until ctx ends.
func (r *Reporter) Serve(ctx context.Context) error {
	r.since = time.Now()
	ticker := time.NewTicker(r.settings.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			close(r.done)

			return ctx.Err()
		case now := <-ticker.C:
			if err := r.round(ctx, now); err != nil {
				r.meter.Add("reports.failed", 1)
				r.logger.Debug("Report not written.", "error", err)
			}
		}
	}
}

func (r *Reporter) round(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, r.settings.Interval)
	defer cancel()
	total := r.meter.Report()
	spec, err := json.Marshal(summarizer.Difference(r.last, total, now.Sub(r.since)))
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	if _, err := r.store.Put(ctx, KindReport, r.settings.Instance, spec, publisher.Condition{}); err != nil {
		return errors.Wrap(err, "write report")
	}
	r.last = total
	r.since = now
	if !r.chooser.IsResponsibleFor(KindReport) {
		return nil
	}

	return r.addUp(ctx)
}

// addUp writes the classes' conditions.
func (r *Reporter) addUp(ctx context.Context) error {
	reports, err := r.reports(ctx)
	if err != nil {
		return err
	}
	sum := summarizer.Sum(reports)
	for class := range sum.Classes {
		if err := r.conclude(ctx, class, sum.ConditionOf(class)); err != nil {
			return err
		}
	}

	return nil
}

// reports reads the reports of instances that still write theirs.
func (r *Reporter) reports(ctx context.Context) ([]summarizer.Report, error) {
	reports := []summarizer.Report{}
	present := map[string]sighting{}
	after := ""
	for range maxPages {
		page, err := r.store.List(ctx, KindReport, after)
		if err != nil {
			return nil, errors.Wrap(err, "list reports")
		}
		for _, object := range page.Items {
			after = object.Name
			seen := r.see(object)
			present[object.Name] = seen
			var report summarizer.Report
			if seen.rounds <= 1 && json.Unmarshal(object.Spec, &report) == nil {
				reports = append(reports, report)
			}
			if seen.rounds >= forgotten {
				// Another instance may delete it too, or have renewed it.
				_ = r.store.Delete(ctx, KindReport, object.Name, publisher.Condition{Version: object.Version})
			}
		}
		if !page.More {
			break
		}
	}
	r.seen = present

	return reports, nil
}

// see returns how long a report has not changed.
func (r *Reporter) see(object publisher.Object) sighting {
	seen := r.seen[object.Name]
	if seen.version != object.Version {
		return sighting{version: object.Version}
	}
	seen.rounds++

	return seen
}

func (r *Reporter) conclude(ctx context.Context, class string, condition summarizer.Condition) error {
	object, err := r.store.Get(ctx, declarer.KindServiceClass, class)
	if errors.Is(err, publisher.ErrAbsent) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read class")
	}
	status, err := publisher.WithSection(object.Status, Section, condition)
	if err != nil {
		return errors.Wrap(err, "encode condition")
	}
	_, err = r.store.PutStatus(ctx, declarer.KindServiceClass, class, status, publisher.Condition{Version: object.Version})
	var conflict *publisher.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		return errors.Wrap(err, "write condition")
	}

	return nil
}
