package configurer

import (
	"flag"
	"io"
	"math"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/common/flagger"
)

// Relay are the settings of an instance that relays opaque requests.
type Relay struct {
	// Name is this instance's, DataCentre where it runs.
	Name, DataCentre string
	// Platform is the base URL of the object API.
	Platform string
	// Listen is the address for callers, StatusListen that of readiness,
	// PeerListen that for the other instances, MetricsListen that of the
	// metrics.
	Listen, StatusListen, PeerListen, MetricsListen string
	// NotePort is the port of notes between instances, the same at all of them;
	// 0: none are sent.
	NotePort int
	// Seeds are addresses of other instances, separated by commas.
	Seeds string
	// LogLevel is trace, debug, info, warn or error.
	LogLevel string
	// Memory is the limit of the process in megabytes; 0: none.
	Memory int
	// KeyLease is how long keys pass after the last confirmed read of the
	// configuration; Strict has it enforced.
	KeyLease time.Duration
	// EndpointReturn is the time that lapsed endpoints may take to register
	// again after an outage of the platform.
	EndpointReturn time.Duration
	// RetryShare, RetryBurst and RetryWindow bound the repeats of all
	// instances together.
	RetryShare, RetryBurst float64
	RetryWindow            time.Duration
	// StopLimit is the longest time that a planned stop may take.
	StopLimit time.Duration
}

// Defaults of a relay's settings.
const (
	defaultKeyLease       = 5 * time.Second
	defaultEndpointReturn = 2 * time.Second
	defaultRetryShare     = 0.1
	defaultRetryBurst     = 10
	defaultRetryWindow    = 10 * time.Second
	defaultRelayStop      = 30 * time.Second
)

// ParseRelay reads the settings of `relay` and checks them. Help goes to
// output.
func ParseRelay(arguments []string, getenv func(string) string, output io.Writer) (Relay, error) {
	settings := Relay{}
	set := RelayFlags(&settings)
	set.SetOutput(output)
	if err := flagger.Parse(set, arguments, getenv); err != nil {
		return Relay{}, err
	}

	return settings, settings.Check()
}

// RelayFlags returns the flag set that fills settings.
func RelayFlags(s *Relay) *flag.FlagSet {
	set := flag.NewFlagSet("oleanderpick relay", flag.ContinueOnError)
	set.StringVar(&s.Name, "name", "", "instance `name`, unique among the instances (required)")
	set.StringVar(&s.DataCentre, "data-centre", "", "data centre the instance runs in (required)")
	set.StringVar(&s.Platform, "platform", "", "base `URL` of the platform's object API (required)")
	set.StringVar(&s.Listen, "listen", "127.0.0.1:8080", "`address` for callers")
	set.StringVar(&s.StatusListen, "status-listen", "127.0.0.1:8081", "`address` of readiness")
	set.StringVar(&s.PeerListen, "peer-listen", "127.0.0.1:8082", "`address` for the other instances")
	set.StringVar(&s.MetricsListen, "metrics-listen", "", "`address` of /metrics; empty: none")
	set.IntVar(&s.NotePort, "note-port", 0, "UDP `port` of notes between instances, the same at all of them; 0: none")
	set.StringVar(&s.Seeds, "seeds", "", "peer `addresses` of some other instances, separated by commas")
	set.StringVar(&s.LogLevel, "log-level", "info", "trace, debug, info, warn or error")
	set.IntVar(&s.Memory, "memory", 0, "limit of the process in `megabytes`; 0: none")
	set.DurationVar(&s.KeyLease, "key-lease", defaultKeyLease, "`time` that keys pass after the configuration was confirmed")
	set.DurationVar(&s.EndpointReturn, "endpoint-return", defaultEndpointReturn, "`time` for endpoints to register again after an outage of the platform")
	set.Float64Var(&s.RetryShare, "retry-share", defaultRetryShare, "`repeats` allowed for each request, over all instances")
	set.Float64Var(&s.RetryBurst, "retry-burst", defaultRetryBurst, "`repeats` allowed beside, over all instances")
	set.DurationVar(&s.RetryWindow, "retry-window", defaultRetryWindow, "`time` over which repeats are counted")
	set.DurationVar(&s.StopLimit, "stop-limit", defaultRelayStop, "longest `time` that a planned stop may take")

	return set
}

// PeerAddresses returns the seeds.
func (s Relay) PeerAddresses() []string {
	var addresses []string
	for seed := range strings.SplitSeq(s.Seeds, ",") {
		if seed = strings.TrimSpace(seed); seed != "" {
			addresses = append(addresses, seed)
		}
	}

	return addresses
}

// Check returns the first setting that is missing or wrong.
func (s Relay) Check() error {
	if s.Name == "" {
		return flagger.Invalid("name", s.Name, "a name that is not empty")
	}
	if s.DataCentre == "" {
		return flagger.Invalid("data-centre", s.DataCentre, "a name that is not empty")
	}
	address, err := url.Parse(s.Platform)
	if err != nil || address.Scheme != "http" || address.Host == "" {
		return flagger.Invalid("platform", s.Platform, "a URL that starts with http://")
	}
	addresses := map[string]string{"listen": s.Listen, "status-listen": s.StatusListen, "peer-listen": s.PeerListen}
	if s.MetricsListen != "" {
		addresses["metrics-listen"] = s.MetricsListen
	}
	for name, address := range addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return flagger.Invalid(name, address, "IP:PORT")
		}
	}

	return s.checkLimits()
}

func (s Relay) checkLimits() error {
	switch {
	case s.NotePort < 0 || s.NotePort > math.MaxUint16:
		return flagger.Invalid("note-port", s.NotePort, "a port, or 0")
	case s.Memory < 0:
		return flagger.Invalid("memory", s.Memory, "0 megabytes or more")
	case s.KeyLease <= 0:
		return flagger.Invalid("key-lease", s.KeyLease, "a time over 0s")
	case s.EndpointReturn < 0:
		return flagger.Invalid("endpoint-return", s.EndpointReturn, "0s or more")
	case s.RetryShare < 0 || s.RetryBurst < 0:
		return flagger.Invalid("retry-share", s.RetryShare, "0 or more, as -retry-burst")
	case s.RetryWindow <= 0:
		return flagger.Invalid("retry-window", s.RetryWindow, "a time over 0s")
	case s.StopLimit <= 0:
		return flagger.Invalid("stop-limit", s.StopLimit, "a time over 0s")
	}

	return nil
}
