// Package profiler measures how much memory, CPU time and traffic the control
// components of one instance need as a deployment grows. It runs the real components in
// simulated time against small stand-ins for the rest of the deployment, at several
// fractions of its full size, and fits a line to each metric.
package profiler

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
	"github.com/oleanderpick/oleanderpick/pkg/tracker"
)

// Names of the two services that a plan declares: one of models and a plain one.
const (
	modelServiceName = "llm-pool"
	plainServiceName = "ledger"
)

// Size of each endpoint and of each request of a plan. tokenInterval is the time
// between two tokens of an answer.
const (
	slotsPerEndpoint         = 64
	tokenCapacityPerEndpoint = 524288
	meanAnswerTokens         = 481
	promptTokens             = 800
	tokenInterval            = 30 * time.Millisecond
	secondsPerDay            = 86400
)

// Plan is the size and the load of a deployment.
type Plan struct {
	// Instances is the number of instances of the router, Endpoints the number of
	// engines.
	Instances int `json:"instances"`
	Endpoints int `json:"endpoints"`
	// Workspaces, Models, Tiers and DataCentres are the numbers of each. There is one
	// service class per tier.
	Workspaces  int `json:"workspaces"`
	Models      int `json:"models"`
	Tiers       int `json:"tiers"`
	DataCentres int `json:"dataCentres"`
	// RequestsPerSecond is the arrival rate over all instances. BookingsPerSecond is
	// the rate of those requests that are not idempotent and go through the journal.
	RequestsPerSecond float64 `json:"requests"`
	BookingsPerSecond float64 `json:"bookings"`
	// ChangesPerDay is the number of accepted configuration changes per day.
	ChangesPerDay float64 `json:"changes"`
}

// FullPlan returns the size that the system is designed for.
func FullPlan() Plan {
	return Plan{
		Instances:         380,
		Endpoints:         600,
		Workspaces:        48_000,
		Models:            21,
		Tiers:             5,
		DataCentres:       5,
		RequestsPerSecond: 1600,
		BookingsPerSecond: 80,
		ChangesPerDay:     1100,
	}
}

// Scaled returns the plan with its counts and rates multiplied by a factor. Counts are at
// least 1. The numbers of tiers and data centres stay the same.
func (p Plan) Scaled(factor float64) Plan {
	scale := func(n int) int {
		return max(1, int(math.Round(float64(n)*factor)))
	}
	p.Instances = scale(p.Instances)
	p.Endpoints = scale(p.Endpoints)
	p.Workspaces = scale(p.Workspaces)
	p.Models = scale(p.Models)
	p.RequestsPerSecond *= factor
	p.BookingsPerSecond *= factor
	p.ChangesPerDay *= factor

	return p
}

func (p Plan) dataCentreName(i int) string {
	return fmt.Sprintf("dc-%d", i%p.DataCentres)
}

func (p Plan) className(i int) string {
	return fmt.Sprintf("class-%d", i%p.Tiers)
}

func (p Plan) modelName(i int) string {
	return fmt.Sprintf("model-%02d", i%p.Models)
}

// workspaceName returns the name of the workspace with index i.
func workspaceName(i int) string {
	return fmt.Sprintf("workspace-%05d", i)
}

// instances returns all instances of the deployment. The first is the measured one.
func (p Plan) instances() []tracker.Instance {
	instances := make([]tracker.Instance, 0, p.Instances)
	for i := range p.Instances {
		address := fmt.Sprintf("10.%d.%d.%d", i%p.DataCentres, i/200, i%200+1)
		instances = append(instances, tracker.Instance{
			Name:        fmt.Sprintf("router-%03d", i),
			Address:     address + ":8080",
			PeerAddress: address + ":8082",
			DataCentre:  p.dataCentreName(i),
		})
	}

	return instances
}

// resources returns the resources that operators declare, workspaces last. Each endpoint
// serves one model, and the endpoints of a model are spread over all data centres.
func (p Plan) resources() ([]declarer.Resource, error) {
	var resources []declarer.Resource
	var encodeErr error
	add := func(kind, name string, spec any) {
		encoded, err := json.Marshal(spec)
		if err != nil {
			encodeErr = errors.Wrapf(err, "encode %s %s", kind, name)
		}
		resources = append(resources, declarer.Resource{Kind: kind, Name: name, Generation: 1, Spec: encoded})
	}
	for tier := range p.Tiers {
		add(declarer.KindServiceClass, p.className(tier), p.serviceClassSpec(tier))
	}
	models := make([]string, 0, p.Models)
	for i := range p.Models {
		models = append(models, p.modelName(i))
	}
	add(declarer.KindService, modelServiceName, declarer.Service{Kind: declarer.ServiceKindModel, Models: models})
	add(declarer.KindService, plainServiceName, declarer.Service{Kind: declarer.ServiceKindPlain, IdempotentCalls: []string{"GET"}})
	for i := range p.Endpoints {
		add(declarer.KindEndpoint, fmt.Sprintf("engine-%03d", i), declarer.Endpoint{
			Service:       modelServiceName,
			Address:       fmt.Sprintf("http://10.1%d.%d.%d:8000", i%p.DataCentres, i/200, i%200+1),
			DataCentre:    p.dataCentreName(i / p.Models),
			Models:        []string{p.modelName(i)},
			Slots:         slotsPerEndpoint,
			TokenCapacity: tokenCapacityPerEndpoint,
		})
	}
	for i := range p.Workspaces {
		add(declarer.KindWorkspace, workspaceName(i), p.workspaceSpec(i))
	}

	return resources, encodeErr
}

// serviceClassSpec returns the service class of a tier.
func (p Plan) serviceClassSpec(tier int) declarer.ServiceClass {
	return declarer.ServiceClass{
		Tier:           tier,
		Deadline:       declarer.Duration(time.Minute),
		GuaranteedWait: declarer.Duration(30 * time.Second),
		MaxRetryRatio:  0.1,
	}
}

// workspaceSpec returns the workspace with index i. Its bearer token is its name, and
// it may use the classes of two tiers.
func (p Plan) workspaceSpec(i int) declarer.Workspace {
	digest := sha256.Sum256([]byte(workspaceName(i)))

	return declarer.Workspace{
		BearerTokenDigests:   []string{hex.EncodeToString(digest[:])},
		Classes:              []string{p.className(i), p.className(i + 1)},
		MaxInFlight:          100,
		MaxRequestsPerSecond: 50,
	}
}
