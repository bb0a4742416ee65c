// Package deployer runs a whole deployment in one process on loopback: the
// stand-in platform, engines and plain services, and real routers.
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

// Names of a plan's services and model.
const (
	ModelService     = "llm-pool"
	PlainServiceName = "ledger"
	ModelName        = "general"
)

// Plan is what to deploy.
type Plan struct {
	// DataCentres are the places, over which all servers are spread in turn.
	DataCentres []string
	// EngineCount and Services are counts.
	EngineCount, PlainEndpointCount int
	// RouterCount is the count of entry instances.
	RouterCount int
	// EngineSettings is every engine's settings; Engines with an entry in Uneven run
	// at that speed instead.
	EngineSettings     emulator.Settings
	EngineSpeedFactors map[int]float64
	// Service is every plain service's settings.
	Service booker.Settings
	// Keeper is the platform's settings.
	Keeper keeper.Settings
	// ServiceClasses are the service classes.
	ServiceClasses []declarer.ServiceClass
	// Workspaces are names; the bearer token of NAME is token-NAME.
	Workspaces []string
	// RouterOptions are passed to every router.
	RouterOptions runner.Options
	// ExchangeInterval is the routers' setting; 0: the default.
	ExchangeInterval time.Duration
	// QueueLimit is the routers' setting; 0: the default.
	QueueLimit int
}

const (
	defaultExchange = 250 * time.Millisecond
	defaultQueue    = 4096
)

func (p Plan) withDefaults() Plan {
	if p.ExchangeInterval == 0 {
		p.ExchangeInterval = defaultExchange
	}
	if p.QueueLimit == 0 {
		p.QueueLimit = defaultQueue
	}

	return p
}

// BearerToken returns the bearer token of a workspace.
func BearerToken(workspace string) string {
	return "token-" + workspace
}

// resources returns the plan as operators would declare it.
func (p Plan) resources(engines, services []string) []declarer.Resource {
	resources := []declarer.Resource{}
	add := func(kind, name string, spec any) {
		encoded, err := json.Marshal(spec)
		if err != nil {
			panic(err)
		}
		resources = append(resources, declarer.Resource{Kind: kind, Name: name, Generation: 1, Spec: encoded})
	}

	classes := make([]string, 0, len(p.ServiceClasses))
	for _, class := range p.ServiceClasses {
		add(declarer.KindServiceClass, class.Name, class)
		classes = append(classes, class.Name)
	}
	for _, name := range p.Workspaces {
		sum := sha256.Sum256([]byte(BearerToken(name)))
		add(declarer.KindWorkspace, name, declarer.Workspace{
			BearerTokenDigests: []string{hex.EncodeToString(sum[:])},
			Classes:            classes,
		})
	}
	add(declarer.KindService, ModelService, declarer.Service{Kind: declarer.ServiceKindModel, Models: []string{ModelName}})
	if len(services) > 0 {
		add(declarer.KindService, PlainServiceName, declarer.Service{Kind: declarer.ServiceKindPlain, IdempotentCalls: []string{"GET"}})
	}
	for i, address := range engines {
		add(declarer.KindEndpoint, EngineName(i), declarer.Endpoint{
			Service:            ModelService,
			Address:            address,
			DataCentre:         p.place(i),
			Models:             []string{ModelName},
			Slots:              p.EngineSettings.Slots,
			TokenCapacity:      p.EngineSettings.KVTokens,
			ChecksFencingToken: p.EngineSettings.ChecksFencingToken,
		})
	}
	for i, address := range services {
		add(declarer.KindEndpoint, ServiceName(i), declarer.Endpoint{
			Service:    PlainServiceName,
			Address:    address,
			DataCentre: p.place(i),
			Slots:      serviceSlots,
		})
	}

	return resources
}

// serviceSlots is the most calls that a plain service is given at once.
const serviceSlots = 64

func (p Plan) place(index int) string {
	return p.DataCentres[index%len(p.DataCentres)]
}

// EngineName returns the name of an engine by its index.
func EngineName(index int) string {
	return fmt.Sprintf("engine-%d", index+1)
}

// ServiceName returns the name of a plain service's server by its index.
func ServiceName(index int) string {
	return fmt.Sprintf("service-%d", index+1)
}

// RouterName returns the name of a router by its index.
func RouterName(index int) string {
	return fmt.Sprintf("entry-%d", index+1)
}
