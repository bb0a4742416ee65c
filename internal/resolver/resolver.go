// Package resolver finds who sends a request, and which class and service it
// is for, in the configuration in force.
package resolver

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sort"
	"strings"

	"github.com/oleanderpick/oleanderpick/internal/controller"
	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/balancer"
	"github.com/oleanderpick/oleanderpick/pkg/declarer"
	"github.com/oleanderpick/oleanderpick/pkg/limiter"
)

// Resolver answers from one accepted revision. It is immutable and safe for
// concurrent use.
type Resolver struct {
	number   uint64
	set      declarer.Set
	digests  map[string]string
	services map[string]string
}

// New returns a resolver of the revision with the given number.
func New(number uint64, set declarer.Set) *Resolver {
	r := &Resolver{
		number:   number,
		set:      set,
		digests:  map[string]string{},
		services: map[string]string{},
	}
	for _, workspace := range set.WorkspaceList() {
		for _, digest := range workspace.BearerTokenDigests {
			r.digests[digest] = workspace.Name
		}
	}
	for _, service := range set.ServiceList() {
		for _, model := range service.Models {
			r.services[model] = service.Name
		}
	}

	return r
}

// RevisionNumber returns the revision's number.
func (r *Resolver) RevisionNumber() uint64 {
	return r.number
}

// Resources returns the revision's resources. They must not be changed.
func (r *Resolver) Resources() declarer.Set {
	return r.set
}

// AuthenticateWorkspace returns the workspace whose bearer token stands in the
// Authorization header, or an error of kind KindUnauthorized.
func (r *Resolver) AuthenticateWorkspace(authorization string) (declarer.Workspace, error) {
	scheme, token, _ := strings.Cut(authorization, " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return declarer.Workspace{}, answerer.New(answerer.KindUnauthorized, "A bearer token is needed.")
	}
	sum := sha256.Sum256([]byte(token))
	name, ok := r.digests[hex.EncodeToString(sum[:])]
	if !ok {
		return declarer.Workspace{}, answerer.New(answerer.KindUnauthorized, "The bearer token is not known.")
	}

	return r.set.Workspaces[name], nil
}

// SelectClass returns the class that the workspace asks for, or its default when it
// names none; an error is of kind KindForbidden.
func (r *Resolver) SelectClass(workspace declarer.Workspace, name string) (declarer.ServiceClass, error) {
	if name == "" {
		name = workspace.DefaultClass
	}
	if name == "" && len(workspace.Classes) > 0 {
		name = workspace.Classes[0]
	}
	class, ok := r.set.Classes[name]
	if !ok || !slices.Contains(workspace.Classes, name) {
		return declarer.ServiceClass{}, answerer.New(answerer.KindForbidden, "The workspace may not use this class.")
	}

	return class, nil
}

// ServiceOfModel returns the service that serves a model; an error is of kind
// KindNotFound.
func (r *Resolver) ServiceOfModel(model string) (string, error) {
	name, ok := r.services[model]
	if !ok {
		return "", answerer.New(answerer.KindNotFound, "No service has this model.")
	}

	return name, nil
}

// PlainService returns a plain service by name; an error is of kind KindNotFound.
func (r *Resolver) PlainService(name string) (declarer.Service, error) {
	service, ok := r.set.Services[name]
	if !ok || service.Kind != declarer.ServiceKindPlain {
		return declarer.Service{}, answerer.New(answerer.KindNotFound, "There is no plain service of this name.")
	}

	return service, nil
}

// ModelNames returns the names of all models, sorted.
func (r *Resolver) ModelNames() []string {
	models := make([]string, 0, len(r.services))
	for model := range r.services {
		models = append(models, model)
	}
	sort.Strings(models)

	return models
}

// ControllerConfiguration returns what the control state needs of the revision.
func (r *Resolver) ControllerConfiguration() controller.Configuration {
	configuration := controller.Configuration{
		RevisionNumber:  r.number,
		Classes:         map[string]controller.Class{},
		WorkspaceLimits: map[string]limiter.Limits{},
	}
	for _, class := range r.set.ClassList() {
		configuration.Classes[class.Name] = controller.Class{
			Tier:           class.Tier,
			GuaranteedWait: class.GuaranteedWait.AsDuration(),
			MaxRetryRatio:  class.MaxRetryRatio,
		}
	}
	for _, workspace := range r.set.WorkspaceList() {
		if workspace.MaxInFlight > 0 || workspace.MaxRequestsPerSecond > 0 {
			configuration.WorkspaceLimits[workspace.Name] = limiter.Limits{MaxInFlight: workspace.MaxInFlight, MaxRequestsPerSecond: workspace.MaxRequestsPerSecond}
		}
	}
	for _, endpoint := range r.set.EndpointList() {
		configuration.Endpoints = append(configuration.Endpoints, controller.Endpoint{
			Endpoint: balancer.Endpoint{
				Name:          endpoint.Name,
				Service:       endpoint.Service,
				DataCentre:    endpoint.DataCentre,
				Models:        r.set.ModelsOf(endpoint),
				Slots:         endpoint.Slots,
				TokenCapacity: endpoint.TokenCapacity,
				Leaving:       endpoint.IsLeaving(),
			},
			Address: endpoint.Address,
		})
	}

	return configuration
}
