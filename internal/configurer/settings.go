// Package configurer reads the settings of the commands `serve` and `relay` from
// flags and environment variables, and validates them.
package configurer

import (
	"flag"
	"io"
	"net"
	"net/url"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/common/flagger"
)

// Settings holds the settings of the command `serve`, which an instance needs before
// it starts. All other configuration comes from the platform's object API.
type Settings struct {
	// Name is the instance's name in the platform's instance list.
	Name string
	// DataCentre is the data centre that the instance runs in.
	DataCentre string
	// PlatformURL is the base URL of the platform's object API.
	PlatformURL string
	// Listen is the address for callers.
	Listen string
	// StatusListen is the address of /healthz, /readyz and /metrics.
	StatusListen string
	// PeerListen is the address for the other instances.
	PeerListen string
	// LogLevel is trace, debug, info, warn or error.
	LogLevel string
	// LogFormat is text or json.
	LogFormat string
	// CertFile and KeyFile are the PEM files of the TLS certificate and key that
	// callers connect to; empty for plain HTTP, which needs a loopback address.
	CertFile, KeyFile string
	// PeerCertFile, PeerKeyFile and PeerCAFile are the PEM files of the certificate,
	// key and certificate authority for mutual TLS between instances; empty for
	// plain HTTP, which needs a loopback address.
	PeerCertFile, PeerKeyFile, PeerCAFile string
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int64
	// MaxWaiting is the largest number of requests that wait at once.
	MaxWaiting int
	// ExchangeInterval is the time between two exchanges of state with a peer.
	ExchangeInterval time.Duration
	// StopTimeout is the longest time that a planned stop waits for requests in
	// flight.
	StopTimeout time.Duration
}

// Defaults and bounds of the settings of `serve`. Sizes are in bytes.
const (
	defaultMaxBodyBytes     = 4 << 20
	defaultMaxWaiting       = 4096
	maxAllowedWaiting       = 1 << 20
	defaultExchangeInterval = 500 * time.Millisecond
	minExchangeInterval     = 20 * time.Millisecond
	maxExchangeInterval     = 10 * time.Second
	defaultServeStopTimeout = 10 * time.Minute
)

// ParseSettings reads the settings of `serve` from arguments and the environment and
// validates them. The flags' help and errors are written to output.
func ParseSettings(arguments []string, getenv func(string) string, output io.Writer) (Settings, error) {
	settings := Settings{}
	set := ServeFlagSet(&settings)
	set.SetOutput(output)
	if err := flagger.Parse(set, arguments, getenv); err != nil {
		return Settings{}, err
	}

	return settings, settings.Check()
}

// ServeFlagSet returns the flags of `serve`, which set the fields of s when parsed.
// A test compares docs/CONFIGURATION.md with it.
func ServeFlagSet(s *Settings) *flag.FlagSet {
	set := flag.NewFlagSet("oleanderpick serve", flag.ContinueOnError)
	set.StringVar(&s.Name, "name", "", "instance `name` in the platform's instance list (required)")
	set.StringVar(&s.DataCentre, "data-centre", "", "data centre the instance runs in (required)")
	set.StringVar(&s.PlatformURL, "platform", "", "base `URL` of the platform's object API (required)")
	set.StringVar(&s.Listen, "listen", "127.0.0.1:8080", "`address` for callers")
	set.StringVar(&s.StatusListen, "status-listen", "127.0.0.1:8081", "`address` of /healthz, /readyz and /metrics")
	set.StringVar(&s.PeerListen, "peer-listen", "127.0.0.1:8082", "`address` for the other instances")
	set.StringVar(&s.LogLevel, "log-level", "info", "trace, debug, info, warn or error")
	set.StringVar(&s.LogFormat, "log-format", "text", "text or json")
	set.StringVar(&s.CertFile, "tls-cert", "", "PEM `file` of the callers' certificate; empty: plain, loopback only")
	set.StringVar(&s.KeyFile, "tls-key", "", "PEM `file` of the callers' key")
	set.StringVar(&s.PeerCertFile, "peer-tls-cert", "", "PEM `file` of this instance's certificate towards its peers; empty: plain, loopback only")
	set.StringVar(&s.PeerKeyFile, "peer-tls-key", "", "PEM `file` of this instance's key towards its peers")
	set.StringVar(&s.PeerCAFile, "peer-tls-ca", "", "PEM `file` of the authority that signs the instances' certificates")
	set.Int64Var(&s.MaxBodyBytes, "max-body", defaultMaxBodyBytes, "largest request body in `bytes`")
	set.IntVar(&s.MaxWaiting, "queue-limit", defaultMaxWaiting, "most `requests` that wait at once")
	set.DurationVar(&s.ExchangeInterval, "exchange-interval", defaultExchangeInterval, "`time` between two exchanges with a peer")
	set.DurationVar(&s.StopTimeout, "stop-limit", defaultServeStopTimeout, "longest `time` a planned stop waits for requests in flight")

	return set
}

// Check validates the settings. Its error names an invalid setting, its value and
// what is allowed.
func (s Settings) Check() error {
	if err := s.checkInstanceAndLogging(); err != nil {
		return err
	}
	if err := s.checkAddressesAndTLS(); err != nil {
		return err
	}

	return s.checkLimits()
}

func (s Settings) checkInstanceAndLogging() error {
	if s.Name == "" {
		return flagger.InvalidValueError("name", s.Name, "a name that is not empty")
	}
	if s.DataCentre == "" {
		return flagger.InvalidValueError("data-centre", s.DataCentre, "a name that is not empty")
	}
	platformURL, err := url.Parse(s.PlatformURL)
	if err != nil || (platformURL.Scheme != "http" && platformURL.Scheme != "https") || platformURL.Host == "" {
		return flagger.InvalidValueError("platform", s.PlatformURL, "a URL that starts with http:// or https://")
	}
	switch s.LogLevel {
	case "trace", "debug", "info", "warn", "error":
	default:
		return flagger.InvalidValueError("log-level", s.LogLevel, "trace, debug, info, warn, error")
	}
	if s.LogFormat != "text" && s.LogFormat != "json" {
		return flagger.InvalidValueError("log-format", s.LogFormat, "text, json")
	}

	return nil
}

// checkAddressesAndTLS validates the listen addresses and the TLS files. An address
// without TLS must be a loopback address.
func (s Settings) checkAddressesAndTLS() error {
	for flagName, address := range map[string]string{"listen": s.Listen, "status-listen": s.StatusListen, "peer-listen": s.PeerListen} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return flagger.InvalidValueError(flagName, address, "IP:PORT")
		}
	}
	if (s.CertFile == "") != (s.KeyFile == "") {
		return flagger.InvalidValueError("tls-key", s.KeyFile, "set together with -tls-cert or not at all")
	}
	if (s.PeerCertFile == "") != (s.PeerKeyFile == "") || (s.PeerCertFile == "") != (s.PeerCAFile == "") {
		return flagger.InvalidValueError("peer-tls-cert", s.PeerCertFile, "set together with -peer-tls-key and -peer-tls-ca or not at all")
	}
	if s.CertFile == "" && !isLoopback(s.Listen) {
		return flagger.InvalidValueError("listen", s.Listen, "a loopback address, or any with -tls-cert")
	}
	if s.PeerCertFile == "" && !isLoopback(s.PeerListen) {
		return flagger.InvalidValueError("peer-listen", s.PeerListen, "a loopback address, or any with -peer-tls-cert")
	}

	return nil
}

// checkLimits validates the numbers and durations.
func (s Settings) checkLimits() error {
	switch {
	case s.MaxBodyBytes < 1:
		return flagger.InvalidValueError("max-body", s.MaxBodyBytes, "1 byte or more")
	case s.MaxWaiting < 1 || s.MaxWaiting > maxAllowedWaiting:
		return flagger.InvalidValueError("queue-limit", s.MaxWaiting, "1 to 1048576 requests")
	case s.ExchangeInterval < minExchangeInterval || s.ExchangeInterval > maxExchangeInterval:
		return flagger.InvalidValueError("exchange-interval", s.ExchangeInterval, "20ms to 10s")
	case s.StopTimeout <= 0:
		return flagger.InvalidValueError("stop-limit", s.StopTimeout, "a time over 0s")
	}

	return nil
}

// isLoopback reports whether the host of HOST:PORT is localhost or a loopback IP.
func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)

	return host == "localhost" || (ip != nil && ip.IsLoopback())
}
