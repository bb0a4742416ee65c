// Package poller reads what the platform and the endpoints publish: the
// instance list, and the load reports of the endpoints whose home this
// instance is.
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

	"github.com/oleanderpick/oleanderpick/internal/controller"
	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/internal/storer"
	"github.com/oleanderpick/oleanderpick/pkg/balancer"
	"github.com/oleanderpick/oleanderpick/pkg/tracker"
)

const (
	// smallFleet is the number of instances up to which the list is read at
	// the configured interval.
	smallFleet = 64
	// maxStretch is the most that the interval grows beyond.
	maxStretch  = 6
	maxReport   = 64 << 10
	pollTimeout = 1 * time.Second
)

// Store is the part of the platform that a poller reads.
type Store interface {
	Instances(ctx context.Context) ([]storer.Instance, error)
}

// Settings are a poller's intervals.
type Settings struct {
	// InstanceListInterval is the time between two reads of the instance list.
	InstanceListInterval time.Duration
	// LoadReportInterval is the time between two reads of an endpoint's report.
	LoadReportInterval time.Duration
}

// ListInterval returns the time to the next read of a list of that many instances. The
// list grows with the fleet, so that it is read less often in a large one:
// instances tell each other of starts and stops in the meantime.
func (s Settings) ListInterval(instances int) time.Duration {
	stretch := min(max(1, float64(instances)/smallFleet), maxStretch)

	return time.Duration(float64(s.InstanceListInterval) * stretch)
}

// Poller polls until it is stopped.
type Poller struct {
	settings Settings
	listed   atomic.Int64
	control  *controller.Controller
	store    Store
	client   *http.Client
	meter    *meter.Meter
	logger   hclog.Logger
	done     chan struct{}
}

// New returns a poller; Serve runs it.
func New(settings Settings, control *controller.Controller, store Store, client *http.Client, counters *meter.Meter, logger hclog.Logger) *Poller {
	return &Poller{
		settings: settings,
		control:  control,
		store:    store,
		client:   client,
		meter:    counters,
		logger:   logger,
		done:     make(chan struct{}),
	}
}

// String returns the name that the supervisor logs.
func (p *Poller) String() string {
	return "poller"
}

// Done is closed when Serve has ended.
func (p *Poller) Done() <-chan struct{} {
	return p.done
}

// Serve polls until ctx ends.
func (p *Poller) Serve(ctx context.Context) error {
	instances := time.NewTimer(p.settings.InstanceListInterval)
	defer instances.Stop()
	loads := time.NewTicker(p.settings.LoadReportInterval)
	defer loads.Stop()
	p.list(ctx)
	for {
		select {
		case <-ctx.Done():
			close(p.done)

			return ctx.Err()
		case <-instances.C:
			instances.Reset(p.settings.ListInterval(int(p.listed.Load())))
			go p.list(ctx)
		case <-loads.C:
			p.readLoads(ctx)
		}
	}
}

func (p *Poller) list(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.settings.InstanceListInterval)
	defer cancel()
	listed, err := p.store.Instances(ctx)
	if err != nil {
		p.meter.Add("store.list-failed", 1)

		return
	}
	p.listed.Store(int64(len(listed)))
	instances := make([]tracker.Instance, 0, len(listed))
	for _, one := range listed {
		instances = append(instances, tracker.Instance{
			Name:        one.Name,
			Address:     one.Address,
			PeerAddress: one.Peer,
			DataCentre:  one.DataCentre,
			Leaving:     one.State == storer.StateLeaving,
		})
	}
	p.control.ApplyInstanceList(instances)
}

// readLoads reads the reports of all endpoints of this home side by side and
// waits for them, so that no two reads of one endpoint overlap.
func (p *Poller) readLoads(ctx context.Context) {
	var reading sync.WaitGroup
	for _, endpoint := range p.control.HomedEndpoints() {
		reading.Go(func() {
			p.readLoad(ctx, endpoint)
		})
	}
	reading.Wait()
}

func (p *Poller) readLoad(ctx context.Context, endpoint controller.Endpoint) {
	load, err := p.load(ctx, endpoint.Address)
	if err != nil {
		p.meter.Add("loads.missed", 1)

		return
	}
	p.control.RecordLoadReport(controller.EndpointLoadReport{Endpoint: endpoint.Name, Load: load})
}

// published is a load report as an endpoint publishes it.
type published struct {
	Time     time.Time `json:"time"`
	Running  int       `json:"running"`
	Waiting  int       `json:"waiting"`
	Tokens   int       `json:"tokens"`
	Capacity int       `json:"capacity"`
	Slots    int       `json:"slots"`
	Rate     float64   `json:"rate"`
	Draining bool      `json:"draining"`
}

func (p *Poller) load(ctx context.Context, address string) (balancer.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address+"/v1/load", nil)
	if err != nil {
		return balancer.LoadReport{}, errors.Wrap(err, "build request")
	}
	response, err := p.client.Do(request)
	if err != nil {
		return balancer.LoadReport{}, errors.Wrap(err, "read load")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return balancer.LoadReport{}, errors.Errorf("read load: status %d", response.StatusCode)
	}

	var report published
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReport)).Decode(&report); err != nil {
		return balancer.LoadReport{}, errors.Wrap(err, "decode load")
	}

	return balancer.LoadReport{
		MeasuredAt:      taken(time.Now(), response.Header, report.Time),
		Running:         report.Running,
		Waiting:         report.Waiting,
		UsedTokens:      report.Tokens,
		TokenCapacity:   report.Capacity,
		Slots:           report.Slots,
		TokensPerSecond: report.Rate,
		Draining:        report.Draining,
	}, nil
}

// taken returns when a report was taken by this instance's clock: clocks may
// differ by minutes, so its age is counted by the endpoint's own Date header.
func taken(now time.Time, header http.Header, reported time.Time) time.Time {
	date, err := http.ParseTime(header.Get("Date"))
	if err != nil {
		return now
	}

	return now.Add(-max(0, date.Sub(reported)))
}
