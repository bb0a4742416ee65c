// Package reporter writes the reports that operators read. Each instance writes its
// own counts as one object. One instance adds up the reports of all instances and
// writes the condition of each service class into the status of its ServiceClass.
//
// Which instance adds up follows from the member list; if two do so at the same time,
// they write the same. Nothing depends on these writes: while the platform is
// unavailable they are skipped, and the next report covers the time since the last
// one that was written.
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
	// KindReport is the kind of the objects that hold the reports of the instances.
	KindReport = "InstanceReport"
	// ConditionSection is the field of a ServiceClass's status that holds the
	// condition of the class.
	ConditionSection = "condition"
	// maxUnchangedRounds is the number of rounds after which a report that its
	// instance no longer renews is deleted.
	maxUnchangedRounds = 4
	// maxPages is the maximum number of pages of reports that are read at once.
	maxPages = 16
)

// Store is the part of the platform's object API that a Reporter uses.
type Store interface {
	Get(ctx context.Context, kind, name string) (publisher.Object, error)
	// List returns a page of objects whose names come after afterName.
	List(ctx context.Context, kind, afterName string) (publisher.Page, error)
	Put(ctx context.Context, kind, name string, spec json.RawMessage, condition publisher.Condition) (publisher.Object, error)
	PutStatus(ctx context.Context, kind, name string, status json.RawMessage, condition publisher.Condition) (publisher.Object, error)
	Delete(ctx context.Context, kind, name string, condition publisher.Condition) error
}

// Settings are the parameters of a Reporter.
type Settings struct {
	// Instance is this instance's name.
	Instance string
	// Interval is the time between two reports. It is also the timeout for all the
	// writes and reads of one round.
	Interval time.Duration
}

// TaskAssigner decides which instance does a task that only one needs to do.
type TaskAssigner interface {
	// IsResponsibleFor reports whether this instance currently does the task.
	IsResponsibleFor(task string) bool
}

// Reporter writes the reports of one instance and, if it is responsible for that, the
// conditions of the service classes.
type Reporter struct {
	settings Settings
	store    Store
	assigner TaskAssigner
	meter    *meter.Meter
	logger   hclog.Logger
	done     chan struct{}

	// The fields below are used by the goroutine of Serve only. lastCounts are
	// the counts at the last report that was written, which was at lastReportTime.
	lastCounts     summarizer.Report
	lastReportTime time.Time
	reportAges     map[string]reportAge
}

// reportAge is the version of a stored report and the number of rounds since that
// version was first seen.
type reportAge struct {
	version         uint64
	unchangedRounds int
}

// New returns a reporter, which writes reports while Serve runs.
func New(settings Settings, store Store, assigner TaskAssigner, counters *meter.Meter, logger hclog.Logger) *Reporter {
	return &Reporter{
		settings:   settings,
		store:      store,
		assigner:   assigner,
		meter:      counters,
		logger:     logger,
		done:       make(chan struct{}),
		reportAges: map[string]reportAge{},
	}
}

// String returns the name under which the supervisor logs the reporter.
func (r *Reporter) String() string {
	return "reporter"
}

// Done is closed when Serve has ended.
func (r *Reporter) Done() <-chan struct{} {
	return r.done
}

// Serve writes a report at each interval until ctx ends. It returns the error of ctx.
func (r *Reporter) Serve(ctx context.Context) error {
	r.lastReportTime = time.Now()
	ticker := time.NewTicker(r.settings.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			close(r.done)

			return ctx.Err()
		case now := <-ticker.C:
			if err := r.runRound(ctx, now); err != nil {
				r.meter.Add("reports.failed", 1)
				r.logger.Debug("Writing the report or the class conditions failed.", "error", err)
			}
		}
	}
}

// runRound writes the local counts since the last report and, if this instance is
// responsible for that, the conditions of the service classes.
func (r *Reporter) runRound(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, r.settings.Interval)
	defer cancel()
	counts := r.meter.ClassTotals()
	spec, err := json.Marshal(summarizer.Difference(r.lastCounts, counts, now.Sub(r.lastReportTime)))
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	if _, err := r.store.Put(ctx, KindReport, r.settings.Instance, spec, publisher.Condition{}); err != nil {
		return errors.Wrap(err, "write report")
	}
	r.lastCounts = counts
	r.lastReportTime = now
	if !r.assigner.IsResponsibleFor(KindReport) {
		return nil
	}

	return r.writeConditions(ctx)
}

// writeConditions adds up the reports of all instances and writes the condition of
// each service class.
func (r *Reporter) writeConditions(ctx context.Context) error {
	reports, err := r.readReports(ctx)
	if err != nil {
		return err
	}
	sum := summarizer.Sum(reports)
	for class := range sum.Classes {
		if err := r.writeCondition(ctx, class, sum.ConditionOf(class)); err != nil {
			return err
		}
	}

	return nil
}

// readReports returns the reports whose version was first seen in this round or in the
// one before. It deletes the reports that did not change for maxUnchangedRounds.
func (r *Reporter) readReports(ctx context.Context) ([]summarizer.Report, error) {
	reports := []summarizer.Report{}
	ages := map[string]reportAge{}
	afterName := ""
	for range maxPages {
		page, err := r.store.List(ctx, KindReport, afterName)
		if err != nil {
			return nil, errors.Wrap(err, "list reports")
		}
		for _, object := range page.Items {
			age := r.ageOf(object)
			ages[object.Name] = age
			var report summarizer.Report
			if age.unchangedRounds <= 1 && json.Unmarshal(object.Spec, &report) == nil {
				reports = append(reports, report)
			}
			if age.unchangedRounds >= maxUnchangedRounds {
				// The deletion fails if the instance has renewed the report or another
				// instance has deleted it.
				_ = r.store.Delete(ctx, KindReport, object.Name, publisher.Condition{ExpectedVersion: object.Version})
			}
		}
		if !page.HasMore {
			break
		}
		afterName = page.LastName
	}
	r.reportAges = ages

	return reports, nil
}

// ageOf returns the age of a stored report, one round more than at the last call if its
// version is the same.
func (r *Reporter) ageOf(object publisher.Object) reportAge {
	age := r.reportAges[object.Name]
	if age.version != object.Version {
		return reportAge{version: object.Version}
	}
	age.unchangedRounds++

	return age
}

// writeCondition writes the condition of a class into the status of its ServiceClass.
// It does nothing if the class does not exist or another writer changed its status at
// the same time.
func (r *Reporter) writeCondition(ctx context.Context, class string, condition summarizer.Condition) error {
	object, err := r.store.Get(ctx, declarer.KindServiceClass, class)
	if errors.Is(err, publisher.ErrNotFound) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read class")
	}
	status, err := publisher.WithStatusSection(object.Status, ConditionSection, condition)
	if err != nil {
		return errors.Wrap(err, "encode condition")
	}
	_, err = r.store.PutStatus(ctx, declarer.KindServiceClass, class, status, publisher.Condition{ExpectedVersion: object.Version})
	var conflict *publisher.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		return errors.Wrap(err, "write condition")
	}

	return nil
}
