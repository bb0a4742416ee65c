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
	DefaultShare           = 0.1
	DefaultSlots           = 32
	DefaultTokenCapacity   = 262144
	DefaultMaxParallel     = 1
	DefaultEndpointTimeout = 10 * time.Minute
)

// The values into which specs are decoded. A field that a spec leaves out keeps
// its default, while an explicit zero stays a zero.
var (
	defaultServiceClass = ServiceClass{
		Deadline: Duration(DefaultDeadline), Floor: Duration(DefaultGuaranteedWait), Share: DefaultShare,
	}
	defaultEndpoint      = Endpoint{Slots: DefaultSlots, Tokens: DefaultTokenCapacity}
	defaultPlannedChange = PlannedChange{Parallel: DefaultMaxParallel, Limit: Duration(DefaultEndpointTimeout)}
)

// completeAndValidate sets the name and adds the problems of the service class.
func (c *ServiceClass) completeAndValidate(name string, v *validator) {
	c.Name = name
	if c.Tier < 0 || c.Tier > LowestTier {
		v.addProblem("tier", "%d is not between 0 and %d", c.Tier, LowestTier)
	}
	v.checkDuration("firstToken", c.FirstToken)
	v.checkDuration("betweenTokens", c.BetweenTokens)
	v.checkDuration("whole", c.Whole)
	v.checkPositive("deadline", c.Deadline)
	v.checkPositive("floor", c.Floor)
	if !(c.Share >= 0 && c.Share <= 1) {
		v.addProblem("share", "%v is not between 0 and 1", c.Share)
	}
	if c.Whole > c.Deadline {
		v.addProblem("whole", "%s is longer than the deadline %s", c.Whole, c.Deadline)
	}
	if c.FirstToken > c.Deadline {
		v.addProblem("firstToken", "%s is longer than the deadline %s", c.FirstToken, c.Deadline)
	}
}

// completeAndValidate sets the name and the default class, and adds the problems
// of the workspace.
func (w *Workspace) completeAndValidate(name string, v *validator) {
	w.Name = name
	if len(w.Classes) == 0 {
		v.addProblem("classes", "the list is empty, at least one class is needed")
	} else if w.Default == "" {
		w.Default = w.Classes[0]
	}
	v.checkList("classes", w.Classes, func(string) {})
	v.checkList("digests", w.Digests, v.checkDigest)
	if !slices.Contains(w.Classes, w.Default) {
		v.addProblem("default", "%q is not one of classes %q", w.Default, w.Classes)
	}
	v.checkAtLeast("parallel", w.Parallel, 0)
	if !(w.Rate >= 0) {
		v.addProblem("rate", "%v is less than 0", w.Rate)
	}
}

// completeAndValidate sets the name and adds the problems of the service.
func (s *Service) completeAndValidate(name string, v *validator) {
	s.Name = name
	v.checkOneOf("kind", s.Kind, ServiceModel, ServicePlain)
	v.checkModels("models", s.Models)
	v.checkList("idempotent", s.Idempotent, v.checkIdempotentCall)
	if s.Kind == ServiceModel && len(s.Models) == 0 {
		v.addProblem("models", "the list is empty, a model service needs at least one model")
	}
	if s.Kind == ServicePlain && len(s.Models) > 0 {
		v.addProblem("models", "%q: a plain service has no models", s.Models)
	}
}

// completeAndValidate sets the name and adds the problems of the endpoint.
func (e *Endpoint) completeAndValidate(name string, v *validator) {
	e.Name = name
	v.checkModels("models", e.Models)
	v.checkAtLeast("slots", e.Slots, 1)
	v.checkAtLeast("tokens", e.Tokens, 1)
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
	target, err := netip.ParseAddrPort(base.Host)
	if err != nil || target.Port() == 0 {
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
	v.checkAtLeast("parallel", p.Parallel, 1)
	v.checkPositive("limit", p.Limit)
	if p.Model == "" && p.Version == "" && p.Adapter == "" && p.Role == "" {
		v.addProblem("", "none of model, version, adapter and role is given")
	}
	if p.Model != "" {
		v.checkModel("model", p.Model)
	}
	if p.After == name {
		v.addProblem("after", "%q is the change itself", p.After)
	}
}
