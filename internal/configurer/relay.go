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

// RelaySettings holds the settings of the command `relay`, whose instance relays requests
// on the platform without interpreting their bodies.
type RelaySettings struct {
	// Name is the instance's name, unique among the instances; DataCentre is the
	// data centre that it runs in.
	Name, DataCentre string
	// PlatformURL is the base URL of the platform's object API.
	PlatformURL string
	// Listen is the address for callers, StatusListen the one for readiness
	// checks, PeerListen the one for other instances and MetricsListen the one for
	// metrics.
	Listen, StatusListen, PeerListen, MetricsListen string
	// LoadUpdatePort is the UDP port for load updates between instances. All
	// instances use the same port; 0 disables load updates.
	LoadUpdatePort int
	// Seeds holds the peer addresses of some other instances, separated by commas.
	Seeds string
	// LogLevel is trace, debug, info, warn or error.
	LogLevel string
	// MemoryLimitMB is the memory limit of the process in megabytes; 0 means none.
	MemoryLimitMB int
	// KeyLeaseDuration is how long API keys are accepted after the configuration
	// was last confirmed to be current.
	KeyLeaseDuration time.Duration
	// ReregistrationWindow is how long endpoints whose registration expired during
	// an outage of the platform may take to register again.
	ReregistrationWindow time.Duration
	// RepeatRatio is the number of repeats allowed for each request and RepeatBurst
	// the number allowed in addition, both for all instances together and within
	// RepeatWindow.
	RepeatRatio, RepeatBurst float64
	RepeatWindow             time.Duration
	// StopTimeout is the longest time that a planned stop may take.
	StopTimeout time.Duration
	// ChangeLimit is the longest time in which a change of the configuration takes effect, and
	// DrainLimit that in which an endpoint that leaves gets no more requests. Shorter ones cost
	// more messages and reads from the platform.
	ChangeLimit, DrainLimit time.Duration
	// FirstStart is true when the whole system starts for the first time, so that there were
	// no streams before.
	FirstStart bool
	// Features names, separated by commas, what the platform states that the deployment uses; the
	// platform's package maps the names to features of the instance.
	Features string
	// Duties are the settings of calls that one instance makes for all.
	Duties DutySettings
}

// DutySettings configure the calls to the cloud API that one instance at a time makes for all.
type DutySettings struct {
	// CloudURL is the base URL of the cloud API; empty if no instance makes such calls.
	CloudURL string
	// Names holds the platform's names of the duties, separated by commas.
	Names string
	// CallsPerSecond is the number of calls that the cloud API accepts from all instances together.
	CallsPerSecond float64
	// RequireFence is true if the cloud API refuses fencing tokens that are lower than one seen.
	RequireFence bool
	// LeaseDuration is the time within which no instance may hold a duty twice with another
	// holder between.
	LeaseDuration time.Duration
	// ThawTime is how long after a suspension or a partition calls of a former holder may still
	// arrive.
	ThawTime time.Duration
	// UsageWindow is the length of a window of usage, UsageDelay the time after its end at which the
	// report is due, and UsageTolerance the largest relative error of a count.
	UsageWindow, UsageDelay time.Duration
	UsageTolerance          float64
}

// Defaults of the settings of `relay`.
const (
	defaultKeyLeaseDuration     = 5 * time.Second
	defaultReregistrationWindow = 2 * time.Second
	defaultRepeatRatio          = 0.1
	defaultRepeatBurst          = 10
	defaultRepeatWindow         = 10 * time.Second
	defaultRelayStopTimeout     = 30 * time.Second
	defaultChangeLimit          = 2 * time.Second
	minChangeLimit              = 500 * time.Millisecond
	maxChangeLimit              = 10 * time.Minute
)

// ParseRelaySettings reads the settings of `relay` from arguments and the
// environment and validates them. The flags' help and errors are written to output.
func ParseRelaySettings(arguments []string, getenv func(string) string, output io.Writer) (RelaySettings, error) {
	settings := RelaySettings{}
	set := RelayFlagSet(&settings)
	set.SetOutput(output)
	if err := flagger.Parse(set, arguments, getenv); err != nil {
		return RelaySettings{}, err
	}

	return settings, settings.Check()
}

// RelayFlagSet returns the flags of `relay`, which set the fields of s when parsed.
// A test compares docs/CONFIGURATION.md with it.
func RelayFlagSet(s *RelaySettings) *flag.FlagSet {
	set := flag.NewFlagSet("oleanderpick relay", flag.ContinueOnError)
	set.StringVar(&s.Name, "name", "", "instance `name`, unique among the instances (required)")
	set.StringVar(&s.DataCentre, "data-centre", "", "data centre the instance runs in (required)")
	set.StringVar(&s.PlatformURL, "platform", "", "base `URL` of the platform's object API (required)")
	set.StringVar(&s.Listen, "listen", "127.0.0.1:8080", "`address` for callers")
	set.StringVar(&s.StatusListen, "status-listen", "127.0.0.1:8081", "`address` of readiness")
	set.StringVar(&s.PeerListen, "peer-listen", "127.0.0.1:8082", "`address` for the other instances")
	set.StringVar(&s.MetricsListen, "metrics-listen", "", "`address` of /metrics; empty: none")
	set.IntVar(&s.LoadUpdatePort, "note-port", 0, "UDP `port` of notes between instances, the same at all of them; 0: none")
	set.StringVar(&s.Seeds, "seeds", "", "peer `addresses` of some other instances, separated by commas")
	set.StringVar(&s.LogLevel, "log-level", "info", "trace, debug, info, warn or error")
	set.IntVar(&s.MemoryLimitMB, "memory", 0, "limit of the process in `megabytes`; 0: none")
	set.DurationVar(&s.KeyLeaseDuration, "key-lease", defaultKeyLeaseDuration, "`time` that keys pass after the configuration was confirmed")
	set.DurationVar(&s.ReregistrationWindow, "endpoint-return", defaultReregistrationWindow, "`time` for endpoints to register again after an outage of the platform")
	set.Float64Var(&s.RepeatRatio, "retry-share", defaultRepeatRatio, "`repeats` allowed for each request, over all instances")
	set.Float64Var(&s.RepeatBurst, "retry-burst", defaultRepeatBurst, "`repeats` allowed beside, over all instances")
	set.DurationVar(&s.RepeatWindow, "retry-window", defaultRepeatWindow, "`time` over which repeats are counted")
	set.DurationVar(&s.StopTimeout, "stop-limit", defaultRelayStopTimeout, "longest `time` that a planned stop may take")
	set.DurationVar(&s.ChangeLimit, "change-limit", defaultChangeLimit, "longest `time` in which a change of the configuration takes effect")
	set.DurationVar(&s.DrainLimit, "drain-limit", defaultChangeLimit, "longest `time` in which an endpoint that leaves gets no more requests")
	set.BoolVar(&s.FirstStart, "first-start", false, "the whole system starts for the first time")
	set.StringVar(&s.Features, "features", "", "`names` of what the platform states that the deployment uses, separated by commas")
	s.Duties.addFlags(set)

	return set
}

// addFlags adds the flags that set the fields of s when parsed.
func (s *DutySettings) addFlags(set *flag.FlagSet) {
	set.StringVar(&s.CloudURL, "cloud", "", "base `URL` of the cloud API for duties; empty: none")
	set.StringVar(&s.Names, "duties", "", "`names` of the duties at the cloud API, separated by commas")
	set.Float64Var(&s.CallsPerSecond, "duty-rate", 0, "`calls` a second that the cloud API accepts from all instances; 0: no limit")
	set.BoolVar(&s.RequireFence, "duty-fence", false, "the cloud API refuses fencing tokens lower than one seen")
	set.DurationVar(&s.LeaseDuration, "duty-lease", 0, "`time` within which a duty does not return to a former holder")
	set.DurationVar(&s.ThawTime, "duty-thaw", 0, "`time` after a suspension in which calls of a former holder may arrive")
	set.DurationVar(&s.UsageWindow, "usage-window", 0, "`length` of a window of usage; 0: usage is not reported")
	set.DurationVar(&s.UsageDelay, "usage-delay", 0, "`time` after the end of a window at which its report is due")
	set.Float64Var(&s.UsageTolerance, "usage-tolerance", 0, "largest relative `error` of a reported count")
}

// check validates the settings.
func (s DutySettings) check() error {
	if s.CloudURL != "" {
		cloudURL, err := url.Parse(s.CloudURL)
		if err != nil || cloudURL.Scheme != "http" || cloudURL.Host == "" {
			return flagger.InvalidValueError("cloud", s.CloudURL, "a URL that starts with http://")
		}
		if s.LeaseDuration <= 0 {
			return flagger.InvalidValueError("duty-lease", s.LeaseDuration, "a time over 0s with -cloud")
		}
	}
	switch {
	case s.CallsPerSecond < 0:
		return flagger.InvalidValueError("duty-rate", s.CallsPerSecond, "0 or more")
	case s.LeaseDuration < 0 || s.ThawTime < 0 || s.UsageWindow < 0 || s.UsageDelay < 0:
		return flagger.InvalidValueError("duty-lease", s.LeaseDuration, "0s or more, as -duty-thaw, -usage-window and -usage-delay")
	case s.UsageTolerance < 0 || s.UsageTolerance >= 1:
		return flagger.InvalidValueError("usage-tolerance", s.UsageTolerance, "0 or more and below 1")
	}

	return nil
}

// SeedAddresses returns the seeds as a list of addresses, without empty entries.
func (s RelaySettings) SeedAddresses() []string {
	var addresses []string
	for seed := range strings.SplitSeq(s.Seeds, ",") {
		if seed = strings.TrimSpace(seed); seed != "" {
			addresses = append(addresses, seed)
		}
	}

	return addresses
}

// Check validates the settings. Its error names an invalid setting, its value and
// what is allowed.
func (s RelaySettings) Check() error {
	if s.Name == "" {
		return flagger.InvalidValueError("name", s.Name, "a name that is not empty")
	}
	if s.DataCentre == "" {
		return flagger.InvalidValueError("data-centre", s.DataCentre, "a name that is not empty")
	}
	platformURL, err := url.Parse(s.PlatformURL)
	if err != nil || platformURL.Scheme != "http" || platformURL.Host == "" {
		return flagger.InvalidValueError("platform", s.PlatformURL, "a URL that starts with http://")
	}
	addresses := map[string]string{"listen": s.Listen, "status-listen": s.StatusListen, "peer-listen": s.PeerListen}
	if s.MetricsListen != "" {
		addresses["metrics-listen"] = s.MetricsListen
	}
	for flagName, address := range addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return flagger.InvalidValueError(flagName, address, "IP:PORT")
		}
	}

	if err := s.Duties.check(); err != nil {
		return err
	}

	return s.checkLimits()
}

// checkLimits validates the numbers and durations.
func (s RelaySettings) checkLimits() error {
	switch {
	case s.LoadUpdatePort < 0 || s.LoadUpdatePort > math.MaxUint16:
		return flagger.InvalidValueError("note-port", s.LoadUpdatePort, "a port, or 0")
	case s.MemoryLimitMB < 0:
		return flagger.InvalidValueError("memory", s.MemoryLimitMB, "0 megabytes or more")
	case s.KeyLeaseDuration <= 0:
		return flagger.InvalidValueError("key-lease", s.KeyLeaseDuration, "a time over 0s")
	case s.ReregistrationWindow < 0:
		return flagger.InvalidValueError("endpoint-return", s.ReregistrationWindow, "0s or more")
	case s.RepeatRatio < 0 || s.RepeatBurst < 0:
		return flagger.InvalidValueError("retry-share", s.RepeatRatio, "0 or more, as -retry-burst")
	case s.RepeatWindow <= 0:
		return flagger.InvalidValueError("retry-window", s.RepeatWindow, "a time over 0s")
	case s.StopTimeout <= 0:
		return flagger.InvalidValueError("stop-limit", s.StopTimeout, "a time over 0s")
	case s.ChangeLimit < minChangeLimit || s.ChangeLimit > maxChangeLimit:
		return flagger.InvalidValueError("change-limit", s.ChangeLimit, "500ms to 10m")
	case s.DrainLimit < minChangeLimit || s.DrainLimit > maxChangeLimit:
		return flagger.InvalidValueError("drain-limit", s.DrainLimit, "500ms to 10m")
	}

	return nil
}
