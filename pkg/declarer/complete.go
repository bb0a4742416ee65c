package declarer

import (
	"net/netip"
	"net/url"
	"slices"
	"time"
)

// Defaults of fields that are left out.
const (
	DefaultDeadline      = 60 * time.Second
	DefaultFloor         = 30 * time.Second
	DefaultMaxRetryRatio = 0.1
	DefaultSlots         = 32
	DefaultTokens        = 262144
	DefaultParallel      = 1
	DefaultLimit         = 10 * time.Minute
)

// What a spec is decoded over, so that a field that is left out has its default
// and a zero that is written out stays a zero.
var (
	defaultClass = ServiceClass{
		Deadline: Duration(DefaultDeadline), GuaranteedWait: Duration(DefaultFloor), MaxRetryRatio: DefaultMaxRetryRatio,
	}
	defaultEndpoint = Endpoint{Slots: DefaultSlots, TokenCapacity: DefaultTokens}
	defaultChange   = PlannedChange{MaxParallel: DefaultParallel, EndpointTimeout: Duration(DefaultLimit)}
)

func (c *ServiceClass) complete(name string, check *checker) {
	c.Name = name
	if c.Tier < 0 || c.Tier > MaxTier {
		check.reject("tier", "%d is not between 0 and %d", c.Tier, MaxTier)
	}
	check.duration("firstToken", c.FirstTokenTarget)
	check.duration("betweenTokens", c.TokenGapTarget)
	check.duration("whole", c.CompletionTarget)
	check.positive("deadline", c.Deadline)
	check.positive("floor", c.GuaranteedWait)
	if !(c.MaxRetryRatio >= 0 && c.MaxRetryRatio <= 1) {
		check.reject("share", "%v is not between 0 and 1", c.MaxRetryRatio)
	}
	if c.CompletionTarget > c.Deadline {
		check.reject("whole", "%s is longer than the deadline %s", c.CompletionTarget, c.Deadline)
	}
	if c.FirstTokenTarget > c.Deadline {
		check.reject("firstToken", "%s is longer than the deadline %s", c.FirstTokenTarget, c.Deadline)
	}
}

func (w *Workspace) complete(name string, check *checker) {
	w.Name = name
	if len(w.Classes) == 0 {
		check.reject("classes", "the list is empty, at least one class is needed")
	} else if w.DefaultClass == "" {
		w.DefaultClass = w.Classes[0]
	}
	check.list("classes", w.Classes, func(string) {})
	check.list("digests", w.BearerTokenDigests, check.digest)
	if !slices.Contains(w.Classes, w.DefaultClass) {
		check.reject("default", "%q is not one of classes %q", w.DefaultClass, w.Classes)
	}
	check.atLeast("parallel", w.MaxInFlight, 0)
	if !(w.MaxRequestsPerSecond >= 0) {
		check.reject("rate", "%v is less than 0", w.MaxRequestsPerSecond)
	}
}

func (s *Service) complete(name string, check *checker) {
	s.Name = name
	check.oneOf("kind", s.Kind, ServiceKindModel, ServiceKindPlain)
	check.models("models", s.Models)
	check.list("idempotent", s.IdempotentCalls, check.idempotent)
	if s.Kind == ServiceKindModel && len(s.Models) == 0 {
		check.reject("models", "the list is empty, a model service needs at least one model")
	}
	if s.Kind == ServiceKindPlain && len(s.Models) > 0 {
		check.reject("models", "%q: a plain service has no models", s.Models)
	}
}

func (e *Endpoint) complete(name string, check *checker) {
	e.Name = name
	check.models("models", e.Models)
	check.atLeast("slots", e.Slots, 1)
	check.atLeast("tokens", e.TokenCapacity, 1)
	check.oneOf("state", e.State, "", StateLeaving)
	if !namePattern.MatchString(e.DataCentre) {
		check.reject("dataCentre", "%q is not the name of a data centre", e.DataCentre)
	}
	if reason := refuseAddress(e.Address); reason != "" {
		check.reject("address", "%q: %s", e.Address, reason)
	}
}

// refuseAddress says what is wrong with a base URL, or nothing.
func refuseAddress(address string) string {
	base, err := url.Parse(address)
	switch {
	case err != nil:
		return "not a URL"
	case base.Scheme != "http" && base.Scheme != "https":
		return "the scheme is not http or https"
	case base.Path != "" || base.RawQuery != "" || base.Fragment != "" || base.User != nil:
		return "only a scheme, an IP number and a port are allowed"
	}
	target, err := netip.ParseAddrPort(base.Host)
	if err != nil || target.Port() == 0 {
		return "the host is not an IP number and a port"
	}
	return ""
}

func (p *PlannedChange) complete(name string, check *checker) {
	p.Name = name
	if len(p.Endpoints) == 0 {
		check.reject("endpoints", "the list is empty, at least one endpoint is needed")
	}
	check.list("endpoints", p.Endpoints, func(string) {})
	check.oneOf("role", p.Role, "", RoleBoth, RolePrefill, RoleDecode)
	check.atLeast("parallel", p.MaxParallel, 1)
	check.positive("limit", p.EndpointTimeout)
	if p.Model == "" && p.Version == "" && p.Adapter == "" && p.Role == "" {
		check.reject("", "none of model, version, adapter and role is given")
	}
	if p.Model != "" {
		check.model("model", p.Model)
	}
	if p.AfterChange == name {
		check.reject("after", "%q is the change itself", p.AfterChange)
	}
}
