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
	ModelService = "llm-pool"
	PlainService = "ledger"
	Model        = "general"
)

// Plan is what to deploy.
type Plan struct {
	// DataCentres are the places, over which all servers are spread in turn.
	DataCentres []string
	// Engines and Services are counts.
	Engines, Services int
	// Routers is the count of entry instances.
	Routers int
	// Engine is every engine's settings; Engines with an entry in Uneven run
	// at that speed instead.
	Engine emulator.Settings
	Uneven map[int]float64
	// Service is every plain service's settings.
	Service booker.Settings
	// Keeper is the platform's settings.
	Keeper keeper.Settings
	// Classes are the service classes.
	Classes []declarer.ServiceClass
	// Workspaces are names; the bearer token of NAME is token-NAME.
	Workspaces []string
	// Options are passed to every router.
	Options runner.Options
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

// Token returns the bearer token of a workspace.
func Token(workspace string) string {
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

	classes := make([]string, 0, len(p.Classes))
	for _, class := range p.Classes {
		add(declarer.KindServiceClass, class.Name, class)
		classes = append(classes, class.Name)
	}
	for _, name := range p.Workspaces {
		sum := sha256.Sum256([]byte(Token(name)))
		add(declarer.KindWorkspace, name, declarer.Workspace{
			BearerTokenDigests: []string{hex.EncodeToString(sum[:])},
			Classes:            classes,
		})
	}
	add(declarer.KindService, ModelService, declarer.Service{Kind: declarer.ServiceKindModel, Models: []string{Model}})
	if len(services) > 0 {
		add(declarer.KindService, PlainService, declarer.Service{Kind: declarer.ServiceKindPlain, IdempotentCalls: []string{"GET"}})
	}
	for i, address := range engines {
		add(declarer.KindEndpoint, EngineName(i), declarer.Endpoint{
			Service:            ModelService,
			Address:            address,
			DataCentre:         p.place(i),
			Models:             []string{Model},
			Slots:              p.Engine.Slots,
			TokenCapacity:      p.Engine.KVTokens,
			ChecksFencingToken: p.Engine.ChecksFencingToken,
		})
	}
	for i, address := range services {
		add(declarer.KindEndpoint, ServiceName(i), declarer.Endpoint{
			Service:    PlainService,
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
