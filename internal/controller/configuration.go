package controller

import (
	"slices"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/balancer"
	"github.com/oleanderpick/oleanderpick/pkg/granter"
	"github.com/oleanderpick/oleanderpick/pkg/limiter"
	"github.com/oleanderpick/oleanderpick/pkg/retrier"
	"github.com/oleanderpick/oleanderpick/pkg/scheduler"
)

// Class is what the decisions need of a service class.
type Class struct {
	// Tier is 0 for the highest.
	Tier int
	// GuaranteedWait is the longest the class's oldest waiting request waits.
	GuaranteedWait time.Duration
	// MaxRetryRatio is the most retries over first tries.
	MaxRetryRatio float64
}

// Endpoint is an endpoint with its address.
type Endpoint struct {
	balancer.Endpoint
	// Address is the base URL.
	Address string
}

// Configuration is what the decisions need of the accepted revision.
type Configuration struct {
	// RevisionNumber is the revision's.
	RevisionNumber uint64
	// Classes are by name.
	Classes map[string]Class
	// Endpoints are sorted by name.
	Endpoints []Endpoint
	// WorkspaceLimits are the workspaces' limits, where limited.
	WorkspaceLimits map[string]limiter.Limits
}

// Configure puts a configuration in force and waits until it is.
func (c *Controller) Configure(configuration Configuration) {
	c.query(func(now time.Time) {
		c.configure(now, configuration)
	})
}

// SetLeaving says which endpoints are leaving by word of others than the
// configuration: the platform's list or the endpoint itself.
func (c *Controller) SetLeaving(endpoint string) {
	c.query(func(now time.Time) {
		c.leaving[endpoint] = true
		c.picker.SetLeaving(now, endpoint)
	})
}

func (c *Controller) configure(now time.Time, configuration Configuration) {
	c.classes = configuration.Classes
	c.limiter.Configure(configuration.WorkspaceLimits)
	c.endpoints = map[string]Endpoint{}
	c.lanes = map[string][]string{}
	for _, endpoint := range configuration.Endpoints {
		c.endpoints[endpoint.Name] = endpoint
		for _, lane := range lanesOf(endpoint.Endpoint) {
			c.lanes[lane] = append(c.lanes[lane], endpoint.Name)
		}
	}

	c.scheduler.Configure(c.schedulerSettings())
	c.retrier.Configure(c.retrierSettings())
	for endpoint := range c.reports {
		if _, ok := c.endpoints[endpoint]; !ok {
			delete(c.reports, endpoint)
		}
	}
	for endpoint := range c.down {
		if _, ok := c.endpoints[endpoint]; !ok {
			delete(c.down, endpoint)
		}
	}
	for endpoint := range c.leaving {
		if _, ok := c.endpoints[endpoint]; !ok {
			delete(c.leaving, endpoint)
		}
	}
	c.share(now)
}

// share gives the granter the present endpoints and members.
func (c *Controller) share(now time.Time) {
	c.limiter.SetInstanceCount(len(c.members))
	endpoints := c.granterEndpoints()
	c.home.Configure(now, endpoints, c.members, c.settings.Self.Name)
	c.borrower.Configure(now, endpoints, c.members)
	c.picker.Configure(now, c.balancerEndpoints())
	for endpoint := range c.leaving {
		c.picker.SetLeaving(now, endpoint)
	}
	c.askSelf(now)
}

func lanesOf(endpoint balancer.Endpoint) []string {
	if len(endpoint.Models) == 0 {
		return []string{endpoint.Service + "/"}
	}
	lanes := make([]string, 0, len(endpoint.Models))
	for _, model := range endpoint.Models {
		lanes = append(lanes, endpoint.Service+"/"+model)
	}

	return lanes
}

func (c *Controller) schedulerSettings() scheduler.Settings {
	classes := map[string]scheduler.Class{}
	for name, class := range c.classes {
		classes[name] = scheduler.Class{Tier: class.Tier, GuaranteedWait: class.GuaranteedWait}
	}

	return scheduler.Settings{MaxWaiting: c.settings.MaxWaiting, Classes: classes}
}

func (c *Controller) retrierSettings() retrier.Settings {
	settings := retrier.DefaultSettings()
	settings.Policies = map[string]retrier.Policy{}
	for name, class := range c.classes {
		policy := settings.DefaultPolicy
		if class.MaxRetryRatio > 0 {
			policy.RetryRatio = class.MaxRetryRatio
		}
		settings.Policies[name] = policy
	}

	return settings
}

func (c *Controller) endpointNames() []string {
	names := make([]string, 0, len(c.endpoints))
	for name := range c.endpoints {
		names = append(names, name)
	}
	slices.Sort(names)

	return names
}

// balancerEndpoints returns the endpoints that this instance uses.
func (c *Controller) balancerEndpoints() []balancer.Endpoint {
	subset := c.borrower.Subset()
	endpoints := make([]balancer.Endpoint, 0, len(subset))
	for _, name := range subset {
		endpoints = append(endpoints, c.endpoints[name].Endpoint)
	}

	return endpoints
}

func (c *Controller) granterEndpoints() []granter.Endpoint {
	endpoints := make([]granter.Endpoint, 0, len(c.endpoints))
	for _, name := range c.endpointNames() {
		endpoint := c.endpoints[name]
		endpoints = append(endpoints, granter.Endpoint{
			Name:       name,
			Group:      lanesOf(endpoint.Endpoint)[0],
			DataCentre: endpoint.DataCentre,
			Slots:      endpoint.Slots,
			Tokens:     endpoint.TokenCapacity,
		})
	}

	return endpoints
}
