// Package configurer decodes and checks the settings of a router.
package configurer

import (
	"flag"
	"io"
	"net"
	"net/url"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/common/flagger"
)

// Settings are what one router needs to know before it starts. Everything
// else comes from the platform's object API.
type Settings struct {
	// Name is the instance's name in the platform's instance list.
	Name string
	// DataCentre is where the instance runs.
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
	// CertFile and Key are the files of the callers' TLS certificate.
	CertFile, KeyFile string
	// PeerCertFile, PeerKey and PeerCA are the files of the mutual TLS between
	// instances.
	PeerCertFile, PeerKeyFile, PeerCAFile string
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int64
	// MaxWaiting is the most requests that wait at once.
	MaxWaiting int
	// ExchangeInterval is the time between two exchanges with a peer.
	ExchangeInterval time.Duration
	// StopTimeout is the longest time a planned stop waits for requests in
	// flight.
	StopTimeout time.Duration
}

// Limits of the settings.
const (
	defaultMaxBody    = 4 << 20
	defaultQueueLimit = 4096
	maxQueueLimit     = 1 << 20
	defaultExchange   = 500 * time.Millisecond
	minExchange       = 20 * time.Millisecond
	maxExchange       = 10 * time.Second
	defaultStopLimit  = 10 * time.Minute
)

// Parse reads the settings of `serve` from arguments and environment and
// checks them. Help goes to output.
func Parse(arguments []string, getenv func(string) string, output io.Writer) (Settings, error) {
	settings := Settings{}
	set := Flags(&settings)
	set.SetOutput(output)
	if err := flagger.Parse(set, arguments, getenv); err != nil {
		return Settings{}, err
	}

	return settings, settings.Check()
}

// Flags returns the flag set that fills settings; docs/CONFIGURATION.md is
// held against it.
func Flags(s *Settings) *flag.FlagSet {
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
	set.Int64Var(&s.MaxBodyBytes, "max-body", defaultMaxBody, "largest request body in `bytes`")
	set.IntVar(&s.MaxWaiting, "queue-limit", defaultQueueLimit, "most `requests` that wait at once")
	set.DurationVar(&s.ExchangeInterval, "exchange-interval", defaultExchange, "`time` between two exchanges with a peer")
	set.DurationVar(&s.StopTimeout, "stop-limit", defaultStopLimit, "longest `time` a planned stop waits for requests in flight")

	return set
}

// Check returns the first setting that is missing or wrong.
func (s Settings) Check() error {
	if err := s.checkNames(); err != nil {
		return err
	}
	if err := s.checkListeners(); err != nil {
		return err
	}

	return s.checkLimits()
}

func (s Settings) checkNames() error {
	if s.Name == "" {
		return flagger.Invalid("name", s.Name, "a name that is not empty")
	}
	if s.DataCentre == "" {
		return flagger.Invalid("data-centre", s.DataCentre, "a name that is not empty")
	}
	address, err := url.Parse(s.PlatformURL)
	if err != nil || (address.Scheme != "http" && address.Scheme != "https") || address.Host == "" {
		return flagger.Invalid("platform", s.PlatformURL, "a URL that starts with http:// or https://")
	}
	switch s.LogLevel {
	case "trace", "debug", "info", "warn", "error":
	default:
		return flagger.Invalid("log-level", s.LogLevel, "trace, debug, info, warn, error")
	}
	if s.LogFormat != "text" && s.LogFormat != "json" {
		return flagger.Invalid("log-format", s.LogFormat, "text, json")
	}

	return nil
}

func (s Settings) checkListeners() error {
	for name, address := range map[string]string{"listen": s.Listen, "status-listen": s.StatusListen, "peer-listen": s.PeerListen} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return flagger.Invalid(name, address, "IP:PORT")
		}
	}
	if (s.CertFile == "") != (s.KeyFile == "") {
		return flagger.Invalid("tls-key", s.KeyFile, "set together with -tls-cert or not at all")
	}
	if (s.PeerCertFile == "") != (s.PeerKeyFile == "") || (s.PeerCertFile == "") != (s.PeerCAFile == "") {
		return flagger.Invalid("peer-tls-cert", s.PeerCertFile, "set together with -peer-tls-key and -peer-tls-ca or not at all")
	}
	if s.CertFile == "" && !loopback(s.Listen) {
		return flagger.Invalid("listen", s.Listen, "a loopback address, or any with -tls-cert")
	}
	if s.PeerCertFile == "" && !loopback(s.PeerListen) {
		return flagger.Invalid("peer-listen", s.PeerListen, "a loopback address, or any with -peer-tls-cert")
	}

	return nil
}

func (s Settings) checkLimits() error {
	switch {
	case s.MaxBodyBytes < 1:
		return flagger.Invalid("max-body", s.MaxBodyBytes, "1 byte or more")
	case s.MaxWaiting < 1 || s.MaxWaiting > maxQueueLimit:
		return flagger.Invalid("queue-limit", s.MaxWaiting, "1 to 1048576 requests")
	case s.ExchangeInterval < minExchange || s.ExchangeInterval > maxExchange:
		return flagger.Invalid("exchange-interval", s.ExchangeInterval, "20ms to 10s")
	case s.StopTimeout <= 0:
		return flagger.Invalid("stop-limit", s.StopTimeout, "a time over 0s")
	}

	return nil
}

func loopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)

	return host == "localhost" || (ip != nil && ip.IsLoopback())
}
