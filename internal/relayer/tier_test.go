package relayer_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/pkg/matcher"
)

// Guards against engines preempting a request of a higher route and keeping one of a
// lower route, because both workspaces have the same tier and the router sent no other.
func TestEnginesOrderRoutesOfWorkspacesWithEqualTier(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		tiers := map[string]int{}
		h.serveEndpoints(func(w http.ResponseWriter, request *http.Request) {
			tier, err := strconv.Atoi(request.Header.Get("X-Tier"))
			assert.NilError(t, err)
			tiers[request.URL.Path+" "+request.Header.Get("X-Workspace")] = tier
			w.WriteHeader(http.StatusOK)
		})
		h.dispatcher.ApplyConfiguration(h.bootClock(), matcher.New(tieredConfiguration()), dispatcher.StoredConfiguration{})
		for _, path := range []string{"/chat/", "/notes/"} {
			for _, key := range []string{"clinic-key", "hotel-key", "spa-key"} {
				request := h.newRequest(http.MethodPost, path, "")
				request.Header.Set("X-Key", key)
				_, _, err := h.send(request)
				assert.NilError(t, err)
			}
		}
		// From the most urgent to the least urgent: the workspaces' tiers come first.
		order := []string{"/chat/ clinic", "/notes/ clinic", "/chat/ hotel", "/notes/ hotel"}
		for i, higher := range order[:len(order)-1] {
			assert.Assert(t, tiers[higher] < tiers[order[i+1]], "%s has tier %d and %s has tier %d", higher, tiers[higher], order[i+1], tiers[order[i+1]])
		}
		assert.Equal(t, tiers["/chat/ spa"], tiers["/chat/ clinic"], "a workspace without a tier has its routes' tiers")
		assert.Equal(t, tiers["/notes/ spa"], tiers["/notes/ hotel"], "a workspace without a tier has its routes' tiers")
	})
}

// tieredConfiguration has two routes to engines, and workspaces with a tier of 0, a tier
// of 1 and none.
func tieredConfiguration() matcher.Configuration {
	configuration := matcher.Configuration{
		Number:   2,
		Services: []matcher.Service{{Name: "api", Engine: &matcher.EngineSettings{Slots: 6}}},
		Workspaces: []matcher.Workspace{
			{Name: "clinic", APIKeys: []string{"clinic-key"}, HasTier: true},
			{Name: "hotel", APIKeys: []string{"hotel-key"}, HasTier: true, Tier: 1},
			{Name: "spa", APIKeys: []string{"spa-key"}},
		},
	}
	for tier, prefix := range []string{"/chat/", "/notes/"} {
		configuration.Routes = append(configuration.Routes, matcher.Route{
			Name: prefix, Host: "front", PathPrefix: prefix, Kind: matcher.Streaming, Tier: tier, MaxRuns: 1, Timeout: 3 * time.Second,
			ServiceWeights: []matcher.ServiceWeight{{Service: "api", Weight: 1}},
		})
	}

	return configuration
}
