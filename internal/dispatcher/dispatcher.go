// Package dispatcher holds the state by which a relaying instance decides about
// requests: the configuration, the registered endpoints, the load, the repeats and the
// quarantine.
//
// A lock guards the state, because the packages under pkg/ that make the decisions are not safe
// for concurrent use. No call blocks while it holds the lock.
package dispatcher

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/pkg/freshener"
	"github.com/oleanderpick/oleanderpick/pkg/isolator"
	"github.com/oleanderpick/oleanderpick/pkg/matcher"
	"github.com/oleanderpick/oleanderpick/pkg/pauser"
	"github.com/oleanderpick/oleanderpick/pkg/pinner"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/protector"
	"github.com/oleanderpick/oleanderpick/pkg/quarantiner"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
	"github.com/oleanderpick/oleanderpick/pkg/sharer"
	"github.com/oleanderpick/oleanderpick/pkg/throttler"
)

// Settings are a dispatcher's identity and limits.
type Settings struct {
	// Name is this instance's name, and DataCentre the one that it runs in.
	Name       string
	DataCentre string
	// KeyLeaseDuration is how long API keys are accepted after a read confirmed the
	// configuration.
	KeyLeaseDuration time.Duration
	// ReregistrationWindow is how long after an outage of the platform an endpoint whose
	// registration expired may still register again before it is removed.
	ReregistrationWindow time.Duration
	// MinOutage is the silence of the platform after which registrations may have expired
	// meanwhile; 0 means DefaultMinOutage. It is longer than the usual time between two reads.
	MinOutage time.Duration
	// MaxConfigurationAge and MaxEndpointsAge are the ages from which the configuration and the
	// registered endpoints are not used while the platform can be read; 0 for no limit.
	MaxConfigurationAge, MaxEndpointsAge time.Duration
	// RepeatLimits limits the repeats of requests that all instances make together.
	RepeatLimits retrier.RepeatLimiterSettings
	// Features are those that the platform calls for.
	Features Features
}

const (
	// expiryCheckInterval is how often expired endpoints are removed.
	expiryCheckInterval = 100 * time.Millisecond
)

// DefaultMinOutage is the default of Settings.MinOutage. Endpoints renew their registrations
// about every second and may have tried three times without success.
const DefaultMinOutage = 1500 * time.Millisecond

// registrarSettings returns the time limits of the registry's copy.
func (s Settings) registrarSettings() registrar.Settings {
	return registrar.Settings{ReregistrationWindow: s.ReregistrationWindow, MinOutage: cmp.Or(s.MinOutage, DefaultMinOutage)}
}

// Clock reads the machine's clocks.
type Clock struct {
	// Now returns the current time.
	Now func() time.Time
	// SinceBoot returns the time since the machine started, including the time during
	// which it was suspended.
	SinceBoot func() time.Duration
}

// Dispatcher holds the state by which requests are placed, repeated and refused. Its
// methods, except OnLoadChange, are safe for concurrent use.
type Dispatcher struct {
	clock      Clock
	logger     hclog.Logger
	name       string
	dataCentre string
	done       chan struct{}
	// initialized is closed when a configuration and the endpoints are known.
	initialized chan struct{}

	currentMatcher atomic.Pointer[matcher.Matcher]
	instanceCount  atomic.Int64
	peerReaches    atomic.Pointer[[]PeerReach]
	members        atomic.Pointer[[]string]
	reach          atomic.Pointer[reachSummary]
	sharedLease    atomic.Pointer[freshener.Lease] // a copy of lease for other goroutines

	// mu guards the following fields, except the atomic ones and permitSource and pinSource.
	mu                  sync.Mutex
	hasEnded            bool
	lease               *freshener.Lease
	registry            *registrar.Registrar
	placer              *placer.Placer
	sharer              *sharer.Sharer            // nil if capacity is not shared
	sharedAttempts      map[uint64]*sharedAttempt // by attempt ID
	repeatLimiter       *retrier.RepeatLimiter
	quarantine          *quarantiner.Quarantiner
	isolator            *isolator.Isolator
	quarantinedBlocks   string      // the causes that isolator found, as they were last logged
	hasBlockRecords     atomic.Bool // whether isolator has records
	throttler           *throttler.Throttler
	hasLimits           atomic.Bool // whether throttler has records
	permitSource        PermitSource
	pauser              *pauser.Pauser
	reaches             map[string]*serviceReach // by service
	protector           *protector.Protector
	hasBrittle          atomic.Bool // whether endpoints of any service are brittle
	onRejection         func(endpoint string)
	pinner              *pinner.Pinner
	pinSource           PinSource
	onPin               func(pin pinner.Pin, holders []string)
	versionSource       VersionSource
	startedAt           time.Duration             // since boot
	brokenAnswers       map[string][]BrokenAnswer // by endpoint ID
	hasSuspects         atomic.Bool               // whether quarantine has entries
	lastAttemptID       uint64
	messageCount        int // messages built
	rank                int
	storedConfiguration StoredConfiguration
	listedEndpoints     []registrar.Endpoint
	listingDigest       uint64
	departuresReadAt    time.Duration // time since boot at which the read that was last searched for departures was sent
	hasDepartures       bool          // the registry has departures of a listing that is not the last one
	listingReadAt       time.Duration // time since boot at which the listing's read was sent
	listingEpoch        uint64        // epoch of the store in which the listing was read
	configurationState  dataState
	endpointsState      dataState
	dataRead            chan struct{} // closed at the next end of a read of the platform
	storeEpoch          uint64        // the highest epoch of the store that is known
	onLoadChange        func(endpoint string, load placer.Load)
	ordersEndpoints     bool // whether instances order endpoints by demand
}

// New returns a dispatcher without a configuration or endpoints.
func New(settings Settings, clock Clock, logger hclog.Logger) *Dispatcher {
	d := &Dispatcher{
		clock:         clock,
		logger:        logger,
		name:          settings.Name,
		dataCentre:    settings.DataCentre,
		done:          make(chan struct{}),
		initialized:   make(chan struct{}),
		lease:         freshener.New(settings.KeyLeaseDuration),
		registry:      registrar.New(settings.registrarSettings()),
		placer:        placer.New(placer.Settings{InstanceName: settings.Name, DataCentre: settings.DataCentre}),
		repeatLimiter: retrier.NewRepeatLimiter(settings.RepeatLimits),
		quarantine:    quarantiner.New(quarantiner.DefaultSettings()),
		isolator:      isolator.New(isolator.DefaultSettings(), settings.Name),
		throttler:     throttler.New(clock.Now(), settings.Name),
		pauser:        pauser.New(),
		reaches:       map[string]*serviceReach{},
		protector:     protector.New(clock.Now(), settings.Name),
		onRejection:   func(string) {},
		pinner:        pinner.New(settings.Name),
		onPin:         func(pinner.Pin, []string) {},
		startedAt:     clock.SinceBoot(),
		dataRead:      make(chan struct{}),
		brokenAnswers: map[string][]BrokenAnswer{},
		onLoadChange:  func(string, placer.Load) {},
	}
	d.configurationState.limit.Max, d.endpointsState.limit.Max = settings.MaxConfigurationAge, settings.MaxEndpointsAge
	d.reach.Store(&reachSummary{})
	d.initSharing(settings.Features)

	return d
}

// Configure replaces the limits. It does not change the name, the data centre and the features.
func (d *Dispatcher) Configure(settings Settings) {
	d.withState(func() {
		d.lease.SetLifetime(settings.KeyLeaseDuration)
		d.publishLease()
		d.registry.Configure(settings.registrarSettings())
		d.configurationState.limit.Max, d.endpointsState.limit.Max = settings.MaxConfigurationAge, settings.MaxEndpointsAge
		d.repeatLimiter.Configure(d.clock.Now(), settings.RepeatLimits)
	})
}

// OnLoadChange sets the function that is called with this instance's load at an engine
// whenever a prompt is sent to the engine, when the first event of a long enough prompt
// comes, and when an answer ends.
// The function must not block. Call OnLoadChange before Serve.
func (d *Dispatcher) OnLoadChange(callback func(endpoint string, load placer.Load)) {
	d.onLoadChange = callback
}

// String returns the name that the supervisor logs.
func (d *Dispatcher) String() string {
	return "dispatcher"
}

// Done returns a channel that is closed when Serve has ended.
func (d *Dispatcher) Done() <-chan struct{} {
	return d.done
}

// Initialized returns a channel that is closed when a configuration and the endpoints are
// known.
func (d *Dispatcher) Initialized() <-chan struct{} {
	return d.initialized
}

// signalInitialized closes the channel initialized once a configuration and the endpoints
// are known, unless it is closed already.
func (d *Dispatcher) signalInitialized() {
	if d.currentMatcher.Load() == nil || !d.registry.HasListing() {
		return
	}
	select {
	case <-d.initialized:
	default:
		close(d.initialized)
	}
}

// Serve removes expired endpoints until ctx ends. After that, calls do nothing.
func (d *Dispatcher) Serve(ctx context.Context) error {
	ticker := time.NewTicker(expiryCheckInterval)
	defer ticker.Stop()
	defer close(d.done)
	for {
		select {
		case <-ctx.Done():
			d.withState(func() { d.hasEnded = true })

			return ctx.Err()
		case <-ticker.C:
			d.withState(d.removeExpired)
		}
	}
}

// removeExpired removes expired endpoints.
func (d *Dispatcher) removeExpired() {
	if d.registry.RemoveExpired(d.clock.Now()) {
		d.updatePlacer()
	}
}

// withState runs a call that uses the state, unless Serve has ended.
func (d *Dispatcher) withState(call func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.hasEnded {
		call()
	}
}

// Matcher returns the current configuration's matcher; nil if there is none yet.
func (d *Dispatcher) Matcher() *matcher.Matcher {
	return d.currentMatcher.Load()
}

// IsConfigurationFresh reports whether the configuration was confirmed recently enough
// to accept API keys by it.
func (d *Dispatcher) IsConfigurationFresh() bool {
	lease := d.sharedLease.Load()

	return lease != nil && lease.IsFresh(d.clock.SinceBoot())
}

// IsReady reports whether the instance can serve: it has a fresh configuration and a
// listing of the endpoints.
func (d *Dispatcher) IsReady() bool {
	hasListing := false
	d.withState(func() { hasListing = d.registry.HasListing() })

	return hasListing && d.Matcher() != nil && d.IsConfigurationFresh()
}
