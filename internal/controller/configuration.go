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

// Class holds the settings of a service class that the controller uses.
type Class struct {
	// Tier is the priority; 0 is the highest.
	Tier int
	// GuaranteedWait is the longest wait promised to the oldest waiting request of the class.
	GuaranteedWait time.Duration
	// MaxRetryRatio is the maximum number of retries per first attempt; zero selects the
	// default.
	MaxRetryRatio float64
}

// Endpoint is the configuration of an endpoint, with its address.
type Endpoint struct {
	balancer.Endpoint
	// Address is the endpoint's base URL.
	Address string
}

// Configuration holds what the controller uses of a configuration revision.
type Configuration struct {
	// RevisionNumber is the number of the revision.
	RevisionNumber uint64
	// Classes holds the service classes by name.
	Classes map[string]Class
	// Endpoints holds all endpoints, sorted by name.
	Endpoints []Endpoint
	// WorkspaceLimits holds the limits by workspace. A workspace without an entry is
	// not limited.
	WorkspaceLimits map[string]limiter.Limits
}

// Configure replaces the configuration and returns when the new one is in force.
func (c *Controller) Configure(configuration Configuration) {
	c.runAndWait(func(now time.Time) {
		c.configure(now, configuration)
	})
}

// SetEndpointLeaving marks an endpoint as leaving for a reason outside the
// configuration: the platform's list or the endpoint itself says so. No new requests
// are sent to it until it is removed from the configuration.
func (c *Controller) SetEndpointLeaving(endpoint string) {
	c.runAndWait(func(now time.Time) {
		c.leavingEndpoints[endpoint] = true
		c.picker.SetLeaving(now, endpoint)
	})
}

func (c *Controller) configure(now time.Time, configuration Configuration) {
	c.classes = configuration.Classes
	c.limiter.Configure(configuration.WorkspaceLimits)
	c.endpoints = map[string]Endpoint{}
	c.endpointsByLane = map[string][]string{}
	for _, endpoint := range configuration.Endpoints {
		c.endpoints[endpoint.Name] = endpoint
		for _, lane := range lanesOf(endpoint.Endpoint) {
			c.endpointsByLane[lane] = append(c.endpointsByLane[lane], endpoint.Name)
		}
	}

	c.scheduler.Configure(c.schedulerSettings())
	c.retrier.Configure(c.retrierSettings())
	for endpoint := range c.loadReports {
		if _, ok := c.endpoints[endpoint]; !ok {
			delete(c.loadReports, endpoint)
		}
	}
	for endpoint := range c.downEndpoints {
		if _, ok := c.endpoints[endpoint]; !ok {
			delete(c.downEndpoints, endpoint)
		}
	}
	for endpoint := range c.leavingEndpoints {
		if _, ok := c.endpoints[endpoint]; !ok {
			delete(c.leavingEndpoints, endpoint)
		}
	}
	c.updateCapacitySharing(now)
}

// updateCapacitySharing divides the capacity of the current endpoints among the current
// members, and passes the endpoints that this instance uses to the balancer.
func (c *Controller) updateCapacitySharing(now time.Time) {
	c.limiter.SetInstanceCount(len(c.liveMembers))
	endpoints := c.granterEndpoints()
	c.home.Configure(now, endpoints, c.liveMembers, c.settings.Self.Name)
	c.borrower.Configure(now, endpoints, c.liveMembers)
	c.picker.Configure(now, c.balancerEndpoints())
	for endpoint := range c.leavingEndpoints {
		c.picker.SetLeaving(now, endpoint)
	}
	c.renewLocalCredits(now)
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

// balancerEndpoints returns the configuration of the endpoints that this instance uses.
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
