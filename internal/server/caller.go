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

// callerInfo holds the workspace, the service class and the deadline of a request, and
// the resolver of the configuration with which the request is handled.
type callerInfo struct {
	resolver  *resolver.Resolver
	workspace declarer.Workspace
	class     declarer.ServiceClass
	deadline  time.Time
}

// identifyCaller determines the workspace, the service class and the deadline of a
// request from its headers and the current configuration.
func (s *Server) identifyCaller(r *http.Request) (callerInfo, error) {
	current := s.resolverProvider.Resolver()
	if current == nil {
		return callerInfo{}, answerer.New(answerer.KindStopping, "This instance has no configuration yet; ask another.")
	}
	workspace, err := current.AuthenticateWorkspace(r.Header.Get("Authorization"))
	if err != nil {
		return callerInfo{}, err
	}
	class, err := current.SelectClass(workspace, r.Header.Get(headerServiceClass))
	if err != nil {
		return callerInfo{}, err
	}
	deadline, err := s.parseDeadline(r, class.Deadline.AsDuration())
	if err != nil {
		return callerInfo{}, err
	}

	return callerInfo{resolver: current, workspace: workspace, class: class, deadline: deadline}, nil
}

// readBody reads a request's body. A body larger than MaxBodyBytes gives an error of
// kind KindTooLarge, a failed read one of KindMalformed.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.settings.MaxBodyBytes))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, answerer.New(answerer.KindTooLarge, "The body is too large.")
	}

	return nil, answerer.Wrap(answerer.KindMalformed, "The body could not be read.", err)
}
