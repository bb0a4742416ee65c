// Package resolver looks up the workspace, service class and service of a request in
// one configuration revision.
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

// Resolver looks up names in one accepted revision. It is immutable and safe for
// concurrent use.
type Resolver struct {
	revisionNumber     uint64
	resources          declarer.Set
	workspacesByDigest map[string]string // workspace names by digest of a bearer token
	servicesByModel    map[string]string // service names by model
}

// New returns a resolver of the revision with the given number and resources.
func New(revisionNumber uint64, resources declarer.Set) *Resolver {
	r := &Resolver{
		revisionNumber:     revisionNumber,
		resources:          resources,
		workspacesByDigest: map[string]string{},
		servicesByModel:    map[string]string{},
	}
	for _, workspace := range resources.WorkspaceList() {
		for _, digest := range workspace.BearerTokenDigests {
			r.workspacesByDigest[digest] = workspace.Name
		}
	}
	for _, service := range resources.ServiceList() {
		for _, model := range service.Models {
			r.servicesByModel[model] = service.Name
		}
	}

	return r
}

// RevisionNumber returns the number of the revision.
func (r *Resolver) RevisionNumber() uint64 {
	return r.revisionNumber
}

// Resources returns the resources of the revision. The caller must not change them.
func (r *Resolver) Resources() declarer.Set {
	return r.resources
}

// AuthenticateWorkspace returns the workspace that the bearer token in the value of an
// Authorization header belongs to. The error is of kind KindUnauthorized.
func (r *Resolver) AuthenticateWorkspace(authorization string) (declarer.Workspace, error) {
	scheme, token, _ := strings.Cut(authorization, " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return declarer.Workspace{}, answerer.New(answerer.KindUnauthorized, "A bearer token is needed.")
	}
	sum := sha256.Sum256([]byte(token))
	name, ok := r.workspacesByDigest[hex.EncodeToString(sum[:])]
	if !ok {
		return declarer.Workspace{}, answerer.New(answerer.KindUnauthorized, "The bearer token is not known.")
	}

	return r.resources.Workspaces[name], nil
}

// SelectClass returns the named service class. If the name is empty, it returns the
// workspace's default class or, if there is none, the first of its classes. The error
// is of kind KindForbidden.
func (r *Resolver) SelectClass(workspace declarer.Workspace, name string) (declarer.ServiceClass, error) {
	if name == "" {
		name = workspace.DefaultClass
	}
	if name == "" && len(workspace.Classes) > 0 {
		name = workspace.Classes[0]
	}
	class, ok := r.resources.Classes[name]
	if !ok || !slices.Contains(workspace.Classes, name) {
		return declarer.ServiceClass{}, answerer.New(answerer.KindForbidden, "The workspace may not use this class.")
	}

	return class, nil
}

// ServiceOfModel returns the name of the service that serves a model. The error is of kind
// KindNotFound.
func (r *Resolver) ServiceOfModel(model string) (string, error) {
	name, ok := r.servicesByModel[model]
	if !ok {
		return "", answerer.New(answerer.KindNotFound, "No service has this model.")
	}

	return name, nil
}

// PlainService returns the plain service with the given name. The error is of kind
// KindNotFound.
func (r *Resolver) PlainService(name string) (declarer.Service, error) {
	service, ok := r.resources.Services[name]
	if !ok || service.Kind != declarer.ServiceKindPlain {
		return declarer.Service{}, answerer.New(answerer.KindNotFound, "There is no plain service of this name.")
	}

	return service, nil
}

// ModelNames returns the names of all models, sorted.
func (r *Resolver) ModelNames() []string {
	models := make([]string, 0, len(r.servicesByModel))
	for model := range r.servicesByModel {
		models = append(models, model)
	}
	sort.Strings(models)

	return models
}

// ControllerConfiguration returns the parts of the revision that the controller uses.
func (r *Resolver) ControllerConfiguration() controller.Configuration {
	configuration := controller.Configuration{
		RevisionNumber:  r.revisionNumber,
		Classes:         map[string]controller.Class{},
		WorkspaceLimits: map[string]limiter.Limits{},
	}
	for _, class := range r.resources.ClassList() {
		configuration.Classes[class.Name] = controller.Class{
			Tier:           class.Tier,
			GuaranteedWait: class.GuaranteedWait.AsDuration(),
			MaxRetryRatio:  class.MaxRetryRatio,
		}
	}
	for _, workspace := range r.resources.WorkspaceList() {
		if workspace.MaxInFlight > 0 || workspace.MaxRequestsPerSecond > 0 {
			configuration.WorkspaceLimits[workspace.Name] = limiter.Limits{MaxInFlight: workspace.MaxInFlight, MaxRequestsPerSecond: workspace.MaxRequestsPerSecond}
		}
	}
	for _, endpoint := range r.resources.EndpointList() {
		configuration.Endpoints = append(configuration.Endpoints, controller.Endpoint{
			Endpoint: balancer.Endpoint{
				Name:          endpoint.Name,
				Service:       endpoint.Service,
				DataCentre:    endpoint.DataCentre,
				Models:        r.resources.ModelsOf(endpoint),
				Slots:         endpoint.Slots,
				TokenCapacity: endpoint.TokenCapacity,
				Leaving:       endpoint.IsLeaving(),
			},
			Address: endpoint.Address,
		})
	}

	return configuration
}
