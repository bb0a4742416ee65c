// Package server answers callers: it reads their requests, has them admitted,
// forwards them and writes the answers.
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

// Header names of callers' requests and answers.
const (
	headerClass    = "X-Service-Class"
	headerDeadline = "X-Deadline"
	headerKey      = "Idempotency-Key"
	headerAttempt  = "Idempotency-Attempt"
	headerFirst    = "Idempotency-First"
	headerLength   = "X-Known-Length"
	headerOutcome  = "X-Outcome"
)

// ResolverProvider gives the configuration in force; nil before the first.
type ResolverProvider interface {
	Resolver() *resolver.Resolver
}

// Admitter admits requests.
type Admitter interface {
	Admit(ctx context.Context, request controller.Request) (*controller.Ticket, error)
}

// Recorder runs non-idempotent calls at most once.
type Recorder interface {
	// Do runs the call unless an earlier try of it may have run, and returns
	// its answer or the stored one. It returns an *answerer.Error otherwise.
	Do(ctx context.Context, call KeyedCall, run SendFunc) (forwarder.PlainAnswer, error)
}

// Settings are a server's own limits.
type Settings struct {
	// StreamIDPrefix prefixes the names of streams; it is unique for each start.
	StreamIDPrefix string
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int64
	// AcceptKnownLengths lets callers tell an answer's true length, as in an
	// experiment.
	AcceptKnownLengths bool
}

// Server is the callers' side of a router. It is an http.Handler.
type Server struct {
	settings  Settings
	resolvers ResolverProvider
	admitter  Admitter
	forwarder *forwarder.Forwarder
	recorder  Recorder
	meter     *meter.Meter
	logger    hclog.Logger
	mux       *http.ServeMux
}

// New returns a server.
func New(settings Settings, resolvers ResolverProvider, admitter Admitter, forward *forwarder.Forwarder, recorder Recorder, counters *meter.Meter, logger hclog.Logger) *Server {
	s := &Server{
		settings:  settings,
		resolvers: resolvers,
		admitter:  admitter,
		forwarder: forward,
		recorder:  recorder,
		meter:     counters,
		logger:    logger,
		mux:       http.NewServeMux(),
	}
	s.mux.HandleFunc("POST /v1/chat/completions", s.model(decoder.Chat))
	s.mux.HandleFunc("POST /v1/completions", s.model(decoder.Completion))
	s.mux.HandleFunc("GET /v1/models", s.models)
	s.mux.HandleFunc("/services/{name}/{rest...}", s.plain)
	s.mux.HandleFunc("/", s.unknown)

	return s
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !clean(r.URL.Path) || strings.Contains(r.URL.RawPath, "%2f") || strings.Contains(r.URL.RawPath, "%2F") {
		s.refuse(w, answerer.New(answerer.KindMalformed, "The path is not a clean one."))

		return
	}
	s.mux.ServeHTTP(w, r)
}

// clean reports whether a path has no empty, dot or control parts.
func clean(requested string) bool {
	for _, char := range requested {
		if char < ' ' || char == '\\' || char == 0x7f {
			return false
		}
	}
	cleaned := path.Clean(requested)

	return requested == cleaned || requested == cleaned+"/"
}

func (s *Server) unknown(w http.ResponseWriter, _ *http.Request) {
	s.refuse(w, answerer.New(answerer.KindNotFound, "There is nothing at this path."))
}

func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	resolved, err := s.identify(r)
	if err != nil {
		s.refuse(w, err)

		return
	}
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := []model{}
	for _, name := range resolved.resolver.ModelNames() {
		list = append(list, model{ID: name, Object: "model"})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"object": "list", "data": list})
}

// refuse writes an answer that is not a complete one.
func (s *Server) refuse(w http.ResponseWriter, err error) {
	refusal := answerer.FromError(err)
	s.meter.Refused(refusal.Kind)
	if refusal.Kind == answerer.KindInternal {
		s.logger.Error("Request failed.", "error", err)
	}
	writeRefusal(w, refusal)
}

func (s *Server) deadline(r *http.Request, limit time.Duration) (time.Time, error) {
	now := time.Now()
	text := r.Header.Get(headerDeadline)
	if text == "" {
		return now.Add(limit), nil
	}
	wanted, err := time.ParseDuration(text)
	if err != nil || wanted <= 0 {
		return time.Time{}, answerer.New(answerer.KindMalformed, "The header X-Deadline must be a time such as 30s.")
	}

	return now.Add(wanted), nil
}
