// Package poller reads the instance list from the platform, and the load reports of
// the endpoints whose home is this instance, at regular intervals.
package poller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/common/verifier"
	"github.com/oleanderpick/oleanderpick/internal/controller"
	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/internal/storer"
	"github.com/oleanderpick/oleanderpick/pkg/balancer"
	"github.com/oleanderpick/oleanderpick/pkg/tracker"
)

const (
	// maxInstancesAtBaseInterval is the number of instances up to which the instance list
	// is read at the configured interval.
	maxInstancesAtBaseInterval = 64
	// maxIntervalFactor limits how much longer the interval becomes with more instances.
	maxIntervalFactor = 6
	maxReportBytes    = 64 << 10
	loadReadTimeout   = 1 * time.Second
)

// Store reads the platform's instance list.
type Store interface {
	Instances(ctx context.Context) ([]storer.Instance, error)
}

// Settings are the intervals of a Poller.
type Settings struct {
	// InstanceListInterval is the time between two reads of the instance list, if
	// there are no more than 64 instances. ListInterval returns the time for more.
	InstanceListInterval time.Duration
	// LoadReportInterval is the time between two reads of an endpoint's load report.
	LoadReportInterval time.Duration
}

// ListInterval returns the time until the next read of an instance list of the given length.
// A long list is read less often, because its size grows with the number of instances.
// Between two reads, instances inform each other of starts and stops.
func (s Settings) ListInterval(instanceCount int) time.Duration {
	intervalFactor := min(max(1, float64(instanceCount)/maxInstancesAtBaseInterval), maxIntervalFactor)

	return time.Duration(float64(s.InstanceListInterval) * intervalFactor)
}

// Poller reads the instance list and load reports and passes them to the controller.
type Poller struct {
	settings            Settings
	listedInstanceCount atomic.Int64 // length of the last instance list
	controller          *controller.Controller
	store               Store
	client              *http.Client
	meter               *meter.Meter
	logger              hclog.Logger
	done                chan struct{}
}

// New returns a poller. Call Serve to run it.
func New(settings Settings, control *controller.Controller, store Store, client *http.Client, counters *meter.Meter, logger hclog.Logger) *Poller {
	return &Poller{
		settings:   settings,
		controller: control,
		store:      store,
		client:     verifier.WithoutRedirects(client),
		meter:      counters,
		logger:     logger,
		done:       make(chan struct{}),
	}
}

// String returns the name under which the supervisor logs the poller.
func (p *Poller) String() string {
	return "poller"
}

// Done returns a channel that is closed when Serve has ended.
func (p *Poller) Done() <-chan struct{} {
	return p.done
}

// Serve reads the instance list and load reports until ctx ends, and returns the error
// of ctx.
func (p *Poller) Serve(ctx context.Context) error {
	listTimer := time.NewTimer(p.settings.InstanceListInterval)
	defer listTimer.Stop()
	loadTicker := time.NewTicker(p.settings.LoadReportInterval)
	defer loadTicker.Stop()
	p.readInstanceList(ctx)
	for {
		select {
		case <-ctx.Done():
			close(p.done)

			return ctx.Err()
		case <-listTimer.C:
			listTimer.Reset(p.settings.ListInterval(int(p.listedInstanceCount.Load())))
			go p.readInstanceList(ctx)
		case <-loadTicker.C:
			p.readLoadReports(ctx)
		}
	}
}

func (p *Poller) readInstanceList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.settings.InstanceListInterval)
	defer cancel()
	listed, err := p.store.Instances(ctx)
	if err != nil {
		p.meter.Add("store.list-failed", 1)

		return
	}
	p.listedInstanceCount.Store(int64(len(listed)))
	instances := make([]tracker.Instance, 0, len(listed))
	for _, instance := range listed {
		instances = append(instances, tracker.Instance{
			Name:        instance.Name,
			Address:     instance.Address,
			PeerAddress: instance.PeerAddress,
			DataCentre:  instance.DataCentre,
			Leaving:     instance.State == storer.StateLeaving,
		})
	}
	p.controller.ApplyInstanceList(instances)
}

// readLoadReports reads the load reports of all endpoints whose home is this instance,
// concurrently. It waits for all of them, so that reads of the same endpoint never
// overlap.
func (p *Poller) readLoadReports(ctx context.Context) {
	var reads sync.WaitGroup
	for _, endpoint := range p.controller.HomedEndpoints() {
		reads.Go(func() {
			p.readLoadReport(ctx, endpoint)
		})
	}
	reads.Wait()
}

func (p *Poller) readLoadReport(ctx context.Context, endpoint controller.Endpoint) {
	load, err := p.fetchLoadReport(ctx, endpoint.Address)
	if err != nil {
		p.meter.Add("loads.missed", 1)

		return
	}
	p.controller.RecordLoadReport(controller.EndpointLoadReport{Endpoint: endpoint.Name, Load: load})
}

// loadReportJSON is a load report in the form in which an endpoint publishes it.
type loadReportJSON struct {
	MeasuredAt      time.Time `json:"time"`
	Running         int       `json:"running"`
	Waiting         int       `json:"waiting"`
	UsedTokens      int       `json:"tokens"`
	TokenCapacity   int       `json:"capacity"`
	Slots           int       `json:"slots"`
	TokensPerSecond float64   `json:"rate"`
	Draining        bool      `json:"draining"`
}

func (p *Poller) fetchLoadReport(ctx context.Context, address string) (balancer.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, loadReadTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"/v1/load", nil)
	if err != nil {
		return balancer.LoadReport{}, errors.Wrap(err, "build request")
	}
	response, err := p.client.Do(request)
	if err != nil {
		return balancer.LoadReport{}, errors.Wrap(err, "read load report")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return balancer.LoadReport{}, errors.Errorf("read load report: status %d", response.StatusCode)
	}

	var report loadReportJSON
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report); err != nil {
		return balancer.LoadReport{}, errors.Wrap(err, "decode load report")
	}

	return balancer.LoadReport{
		MeasuredAt:      measuredAt(time.Now(), response.Header, report.MeasuredAt),
		Running:         report.Running,
		Waiting:         report.Waiting,
		UsedTokens:      report.UsedTokens,
		TokenCapacity:   report.TokenCapacity,
		Slots:           report.Slots,
		TokensPerSecond: report.TokensPerSecond,
		Draining:        report.Draining,
	}, nil
}

// measuredAt returns the time, by this instance's clock, at which an endpoint measured its
// load. Because clocks may differ by minutes, the age of the report is computed by the
// endpoint's clock, from the Date header of the response.
func measuredAt(now time.Time, header http.Header, reportedTime time.Time) time.Time {
	date, err := http.ParseTime(header.Get("Date"))
	if err != nil {
		return now
	}

	return now.Add(-max(0, date.Sub(reportedTime)))
}
