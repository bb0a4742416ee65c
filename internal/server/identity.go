package server

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/resolver"
	"github.com/oleanderpick/oleanderpick/pkg/answerer"
	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

// identity is who sends a request and in which class.
type identity struct {
	resolver  *resolver.Resolver
	workspace declarer.Workspace
	class     declarer.ServiceClass
	deadline  time.Time
}

// identify finds the sender, the class and the deadline of a request.
func (s *Server) identify(r *http.Request) (identity, error) {
	known := s.resolvers.Resolver()
	if known == nil {
		return identity{}, answerer.New(answerer.KindStopping, "This instance has no configuration yet; ask another.")
	}
	workspace, err := known.AuthenticateWorkspace(r.Header.Get("Authorization"))
	if err != nil {
		return identity{}, err
	}
	class, err := known.SelectClass(workspace, r.Header.Get(headerClass))
	if err != nil {
		return identity{}, err
	}
	deadline, err := s.deadline(r, class.Deadline.AsDuration())
	if err != nil {
		return identity{}, err
	}

	return identity{resolver: known, workspace: workspace, class: class, deadline: deadline}, nil
}

// body reads a request's body up to the limit.
func (s *Server) body(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.settings.MaxBodyBytes))
	if err == nil {
		return body, nil
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, answerer.New(answerer.KindTooLarge, "The body is too large.")
	}

	return nil, answerer.Wrap(answerer.KindMalformed, "The body could not be read.", err)
}
