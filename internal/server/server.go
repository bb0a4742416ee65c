// Package server handles the HTTP requests of callers: it authenticates and decodes
// them, admits them through the controller, forwards them to endpoints and writes the
// answers.
package server

import (
	"context"
	"encoding/json"
	"net/http"
	"path"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/oleanderpick/oleanderpick/internal/controller"
	"github.com/oleanderpick/oleanderpick/internal/decoder"
	"github.com/oleanderpick/oleanderpick/internal/forwarder"
	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/internal/resolver"
	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

// Names of headers in callers' requests and in the answers to them.
const (
	headerServiceClass       = "X-Service-Class"
	headerDeadline           = "X-Deadline"
	headerIdempotencyKey     = "Idempotency-Key"
	headerIdempotencyAttempt = "Idempotency-Attempt"
	headerIdempotencyFirst   = "Idempotency-First"
	headerKnownLength        = "X-Known-Length"
	headerOutcome            = "X-Outcome"
)

// ResolverProvider provides the resolver of the current configuration.
type ResolverProvider interface {
	// Resolver returns nil until this instance has a configuration.
	Resolver() *resolver.Resolver
}

// Admitter decides whether and when a request is sent to an endpoint.
type Admitter interface {
	// Admit waits until the request is placed at an endpoint, and returns an error
	// if it is refused.
	Admit(ctx context.Context, request controller.Request) (*controller.Ticket, error)
}

// Recorder runs non-idempotent calls at most once and records their results.
type Recorder interface {
	// Do runs a call unless an earlier attempt of it may have run. It returns the
	// call's answer or the recorded answer of the earlier attempt. Errors are
	// *answerer.Error.
	Do(ctx context.Context, call KeyedCall, run SendFunc) (forwarder.PlainAnswer, error)
}

// Settings configures a server.
type Settings struct {
	// StreamIDPrefix is the prefix of all stream IDs. It is different for each start of
	// the process.
	StreamIDPrefix string
	// MaxBodyBytes is the maximum size of a request body in bytes.
	MaxBodyBytes int64
	// AcceptKnownLengths lets callers state the length of the answer in tokens, as is
	// done in experiments.
	AcceptKnownLengths bool
}

// Server handles the HTTP requests of callers. It is an http.Handler.
type Server struct {
	settings         Settings
	resolverProvider ResolverProvider
	admitter         Admitter
	forwarder        *forwarder.Forwarder
	recorder         Recorder
	meter            *meter.Meter
	logger           hclog.Logger
	mux              *http.ServeMux
}

// New returns a server that handles the API of model requests and the calls of plain
// services.
func New(settings Settings, resolverProvider ResolverProvider, admitter Admitter, forward *forwarder.Forwarder, recorder Recorder, counters *meter.Meter, logger hclog.Logger) *Server {
	s := &Server{
		settings:         settings,
		resolverProvider: resolverProvider,
		admitter:         admitter,
		forwarder:        forward,
		recorder:         recorder,
		meter:            counters,
		logger:           logger,
		mux:              http.NewServeMux(),
	}
	s.mux.HandleFunc("POST /v1/chat/completions", s.modelHandler(decoder.DecodeChat))
	s.mux.HandleFunc("POST /v1/completions", s.modelHandler(decoder.DecodeCompletion))
	s.mux.HandleFunc("GET /v1/models", s.handleModels)
	s.mux.HandleFunc("/services/{name}/{rest...}", s.handlePlainCall)
	s.mux.HandleFunc("/", s.handleUnknownPath)

	return s
}

// ServeHTTP answers one request. It refuses paths that are not clean or that contain
// an escaped slash, since the service's name is taken from the path.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !isCleanPath(r.URL.Path) || strings.Contains(r.URL.RawPath, "%2f") || strings.Contains(r.URL.RawPath, "%2F") {
		s.refuse(w, answerer.New(answerer.KindMalformed, "The path is not a clean one."))

		return
	}
	s.mux.ServeHTTP(w, r)
}

// isCleanPath reports whether a path has no empty or dot segments, control characters
// or backslashes.
func isCleanPath(requestedPath string) bool {
	for _, char := range requestedPath {
		if char < ' ' || char == '\\' || char == 0x7f {
			return false
		}
	}
	cleaned := path.Clean(requestedPath)

	return requestedPath == cleaned || requestedPath == cleaned+"/"
}

func (s *Server) handleUnknownPath(w http.ResponseWriter, _ *http.Request) {
	s.refuse(w, answerer.New(answerer.KindNotFound, "There is nothing at this path."))
}

// handleModels answers with the list of all models.
func (s *Server) handleModels(w http.ResponseWriter, r *http.Request) {
	caller, err := s.identifyCaller(r)
	if err != nil {
		s.refuse(w, err)

		return
	}
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := []model{}
	for _, name := range caller.resolver.ModelNames() {
		list = append(list, model{ID: name, Object: "model"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"object": "list", "data": list})
}

// refuse counts an error and answers the caller with it.
func (s *Server) refuse(w http.ResponseWriter, err error) {
	refusal := answerer.FromError(err)
	s.meter.CountError(refusal.Kind)
	if refusal.Kind == answerer.KindInternal {
		s.logger.Error("Request failed.", "error", err)
	}
	writeRefusal(w, refusal)
}

// parseDeadline returns the deadline of a request: the timeout in its X-Deadline
// header, or defaultTimeout if it has none, added to the current time.
func (s *Server) parseDeadline(r *http.Request, defaultTimeout time.Duration) (time.Time, error) {
	now := time.Now()
	value := r.Header.Get(headerDeadline)
	if value == "" {
		return now.Add(defaultTimeout), nil
	}
	timeout, err := time.ParseDuration(value)
	if err != nil || timeout <= 0 {
		return time.Time{}, answerer.New(answerer.KindMalformed, "The header X-Deadline must be a time such as 30s.")
	}

	return now.Add(timeout), nil
}
