// Package deployer runs a complete deployment in one process on the loopback
// interface: real routers, and stand-ins for the platform, the engines and the
// endpoints of a plain service. Tests, benchmarks and the lab's tools send
// requests to it.
package deployer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/oleanderpick/oleanderpick/internal/lab/booker"
	"github.com/oleanderpick/oleanderpick/internal/lab/emulator"
	"github.com/oleanderpick/oleanderpick/internal/lab/keeper"
	"github.com/oleanderpick/oleanderpick/internal/runner"
	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

// Names of the declared services, and of the model that every engine runs.
const (
	ModelServiceName = "llm-pool"
	PlainServiceName = "ledger"
	ModelName        = "general"
)

// Plan describes the deployment to start.
type Plan struct {
	// DataCentres are the names of the data centres. Engines, plain endpoints and
	// routers are each assigned to them round-robin by their index.
	DataCentres []string
	// EngineCount is the number of engines, PlainEndpointCount the number of
	// endpoints of the plain service.
	EngineCount, PlainEndpointCount int
	// RouterCount is the number of routers.
	RouterCount int
	// EngineSettings are the settings of every engine; each engine gets its own
	// name and seed. EngineSpeedFactors replaces the speed factor of the engines
	// whose index it contains.
	EngineSettings     emulator.Settings
	EngineSpeedFactors map[int]float64
	// PlainEndpointSettings are the settings of every endpoint of the plain
	// service; each endpoint gets its own name.
	PlainEndpointSettings booker.Settings
	// PlatformSettings are the settings of the stand-in platform.
	PlatformSettings keeper.Settings
	// ServiceClasses are the service classes, all of which every workspace may use.
	ServiceClasses []declarer.ServiceClass
	// Workspaces are the names of the workspaces; BearerToken returns their
	// tokens.
	Workspaces []string
	// RouterOptions are passed to every router.
	RouterOptions runner.Options
	// ExchangeInterval is the time between two exchanges of state with the other
	// routers; 0 selects 250 ms.
	ExchangeInterval time.Duration
	// MaxWaiting is the largest number of requests that wait in a router's queue;
	// 0 selects 4096.
	MaxWaiting int
}

const (
	defaultExchangeInterval = 250 * time.Millisecond
	defaultMaxWaiting       = 4096
)

func (p Plan) withDefaults() Plan {
	if p.ExchangeInterval == 0 {
		p.ExchangeInterval = defaultExchangeInterval
	}
	if p.MaxWaiting == 0 {
		p.MaxWaiting = defaultMaxWaiting
	}

	return p
}

// BearerToken returns the bearer token of a workspace.
func BearerToken(workspace string) string {
	return "token-" + workspace
}

// declaredResources returns the resources that an operator would write to declare
// the plan's service classes, workspaces, services and endpoints. The addresses are
// the base URLs of the engines and of the plain service's endpoints, by index.
func (p Plan) declaredResources(engineAddresses, plainAddresses []string) []declarer.Resource {
	resources := []declarer.Resource{}
	addResource := func(kind, name string, spec any) {
		encodedSpec, err := json.Marshal(spec)
		if err != nil {
			panic(err)
		}
		resources = append(resources, declarer.Resource{Kind: kind, Name: name, Generation: 1, Spec: encodedSpec})
	}

	classNames := make([]string, 0, len(p.ServiceClasses))
	for _, class := range p.ServiceClasses {
		addResource(declarer.KindServiceClass, class.Name, class)
		classNames = append(classNames, class.Name)
	}
	for _, name := range p.Workspaces {
		digest := sha256.Sum256([]byte(BearerToken(name)))
		addResource(declarer.KindWorkspace, name, declarer.Workspace{
			BearerTokenDigests: []string{hex.EncodeToString(digest[:])},
			Classes:            classNames,
		})
	}
	addResource(declarer.KindService, ModelServiceName, declarer.Service{Kind: declarer.ServiceKindModel, Models: []string{ModelName}})
	if len(plainAddresses) > 0 {
		addResource(declarer.KindService, PlainServiceName, declarer.Service{Kind: declarer.ServiceKindPlain, IdempotentCalls: []string{"GET"}})
	}
	for i, address := range engineAddresses {
		addResource(declarer.KindEndpoint, EngineName(i), declarer.Endpoint{
			Service:            ModelServiceName,
			Address:            address,
			DataCentre:         p.dataCentreOf(i),
			Models:             []string{ModelName},
			Slots:              p.EngineSettings.Slots,
			TokenCapacity:      p.EngineSettings.KVTokens,
			ChecksFencingToken: p.EngineSettings.ChecksFencingToken,
		})
	}
	for i, address := range plainAddresses {
		addResource(declarer.KindEndpoint, PlainEndpointName(i), declarer.Endpoint{
			Service:    PlainServiceName,
			Address:    address,
			DataCentre: p.dataCentreOf(i),
			Slots:      plainEndpointSlots,
		})
	}

	return resources
}

// plainEndpointSlots is the declared number of calls that each endpoint of the
// plain service can run at the same time.
const plainEndpointSlots = 64

// dataCentreOf returns the data centre of the engine, plain endpoint or router with
// this index.
func (p Plan) dataCentreOf(index int) string {
	return p.DataCentres[index%len(p.DataCentres)]
}

// EngineName returns the name of the engine with this index, counted from 0.
func EngineName(index int) string {
	return fmt.Sprintf("engine-%d", index+1)
}

// PlainEndpointName returns the name of the plain service's endpoint with this
// index, counted from 0.
func PlainEndpointName(index int) string {
	return fmt.Sprintf("service-%d", index+1)
}

// RouterName returns the name of the router with this index, counted from 0.
func RouterName(index int) string {
	return fmt.Sprintf("entry-%d", index+1)
}
