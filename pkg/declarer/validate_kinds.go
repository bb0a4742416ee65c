package declarer

import (
	"net/netip"
	"net/url"
	"slices"
	"time"
)

// Defaults of fields that are left out.
const (
	DefaultDeadline        = 60 * time.Second
	DefaultGuaranteedWait  = 30 * time.Second
	DefaultMaxRetryRatio   = 0.1
	DefaultSlots           = 32
	DefaultTokenCapacity   = 262144
	DefaultMaxParallel     = 1
	DefaultEndpointTimeout = 10 * time.Minute
)

// The values into which specs are decoded. A field that a spec leaves out keeps
// its default, while an explicit zero stays a zero.
var (
	defaultServiceClass = ServiceClass{
		Deadline: Duration(DefaultDeadline), GuaranteedWait: Duration(DefaultGuaranteedWait), MaxRetryRatio: DefaultMaxRetryRatio,
	}
	defaultEndpoint      = Endpoint{Slots: DefaultSlots, TokenCapacity: DefaultTokenCapacity}
	defaultPlannedChange = PlannedChange{MaxParallel: DefaultMaxParallel, EndpointTimeout: Duration(DefaultEndpointTimeout)}
)

// completeAndValidate sets the name and adds the problems of the service class.
func (c *ServiceClass) completeAndValidate(name string, v *validator) {
	c.Name = name
	if c.Tier < 0 || c.Tier > MaxTier {
		v.addProblem("tier", "%d is not between 0 and %d", c.Tier, MaxTier)
	}
	v.checkDuration("firstToken", c.FirstTokenTarget)
	v.checkDuration("betweenTokens", c.TokenGapTarget)
	v.checkDuration("whole", c.CompletionTarget)
	v.checkPositive("deadline", c.Deadline)
	v.checkPositive("floor", c.GuaranteedWait)
	if !(c.MaxRetryRatio >= 0 && c.MaxRetryRatio <= 1) {
		v.addProblem("share", "%v is not between 0 and 1", c.MaxRetryRatio)
	}
	if c.CompletionTarget > c.Deadline {
		v.addProblem("whole", "%s is longer than the deadline %s", c.CompletionTarget, c.Deadline)
	}
	if c.FirstTokenTarget > c.Deadline {
		v.addProblem("firstToken", "%s is longer than the deadline %s", c.FirstTokenTarget, c.Deadline)
	}
}

// completeAndValidate sets the name and the default class, and adds the problems
// of the workspace.
func (w *Workspace) completeAndValidate(name string, v *validator) {
	w.Name = name
	if len(w.Classes) == 0 {
		v.addProblem("classes", "the list is empty, at least one class is needed")
	} else if w.DefaultClass == "" {
		w.DefaultClass = w.Classes[0]
	}
	v.checkList("classes", w.Classes, func(string) {})
	v.checkList("digests", w.BearerTokenDigests, v.checkDigest)
	if !slices.Contains(w.Classes, w.DefaultClass) {
		v.addProblem("default", "%q is not one of classes %q", w.DefaultClass, w.Classes)
	}
	v.checkAtLeast("parallel", w.MaxInFlight, 0)
	if !(w.MaxRequestsPerSecond >= 0) {
		v.addProblem("rate", "%v is less than 0", w.MaxRequestsPerSecond)
	}
}

// completeAndValidate sets the name and adds the problems of the service.
func (s *Service) completeAndValidate(name string, v *validator) {
	s.Name = name
	v.checkOneOf("kind", s.Kind, ServiceKindModel, ServiceKindPlain)
	v.checkModels("models", s.Models)
	v.checkList("idempotent", s.IdempotentCalls, v.checkIdempotentCall)
	if s.Kind == ServiceKindModel && len(s.Models) == 0 {
		v.addProblem("models", "the list is empty, a model service needs at least one model")
	}
	if s.Kind == ServiceKindPlain && len(s.Models) > 0 {
		v.addProblem("models", "%q: a plain service has no models", s.Models)
	}
}

// completeAndValidate sets the name and adds the problems of the endpoint.
func (e *Endpoint) completeAndValidate(name string, v *validator) {
	e.Name = name
	v.checkModels("models", e.Models)
	v.checkAtLeast("slots", e.Slots, 1)
	v.checkAtLeast("tokens", e.TokenCapacity, 1)
	v.checkOneOf("state", e.State, "", StateLeaving)
	if !namePattern.MatchString(e.DataCentre) {
		v.addProblem("dataCentre", "%q is not the name of a data centre", e.DataCentre)
	}
	if reason := describeAddressProblem(e.Address); reason != "" {
		v.addProblem("address", "%q: %s", e.Address, reason)
	}
}

// describeAddressProblem returns what is wrong with the base URL of an endpoint,
// or an empty string if it is valid.
func describeAddressProblem(address string) string {
	base, err := url.Parse(address)
	switch {
	case err != nil:
		return "not a URL"
	case base.Scheme != "http" && base.Scheme != "https":
		return "the scheme is not http or https"
	case base.Path != "" || base.RawQuery != "" || base.Fragment != "" || base.User != nil:
		return "only a scheme, an IP number and a port are allowed"
	}
	addrPort, err := netip.ParseAddrPort(base.Host)
	if err != nil || addrPort.Port() == 0 {
		return "the host is not an IP number and a port"
	}
	return ""
}

// completeAndValidate sets the name and adds the problems of the planned change.
func (p *PlannedChange) completeAndValidate(name string, v *validator) {
	p.Name = name
	if len(p.Endpoints) == 0 {
		v.addProblem("endpoints", "the list is empty, at least one endpoint is needed")
	}
	v.checkList("endpoints", p.Endpoints, func(string) {})
	v.checkOneOf("role", p.Role, "", RoleBoth, RolePrefill, RoleDecode)
	v.checkAtLeast("parallel", p.MaxParallel, 1)
	v.checkPositive("limit", p.EndpointTimeout)
	if p.Model == "" && p.Version == "" && p.Adapter == "" && p.Role == "" {
		v.addProblem("", "none of model, version, adapter and role is given")
	}
	if p.Model != "" {
		v.checkModel("model", p.Model)
	}
	if p.AfterChange == name {
		v.addProblem("after", "%q is the change itself", p.AfterChange)
	}
}
