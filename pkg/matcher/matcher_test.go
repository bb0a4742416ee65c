package matcher_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/pkg/matcher"
)

// findRouteNaively returns the route with the longest matching prefix by comparing
// all routes.
func findRouteNaively(routes []matcher.Route, host, path string) (best matcher.Route, found bool) {
	for _, route := range routes {
		if route.Host == host && strings.HasPrefix(path, route.PathPrefix) && len(route.PathPrefix) > len(best.PathPrefix) {
			best, found = route, true
		}
	}

	return best, found
}

func TestRouteEqualsNaiveLongestPrefixSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segment := rapid.SampledFrom([]string{"a", "b", "ab", ""})
		path := rapid.Custom(func(t *rapid.T) string {
			return "/" + strings.Join(rapid.SliceOfN(segment, 0, 4).Draw(t, "segments"), "/")
		})
		routes := []matcher.Route{}
		taken := map[string]bool{}
		for i := range rapid.IntRange(0, 8).Draw(t, "routes") {
			prefix := strings.TrimSuffix(path.Draw(t, "prefix"), "/") + "/"
			host := rapid.SampledFrom([]string{"x.example", "y.example"}).Draw(t, "host")
			if taken[host+prefix] {
				continue
			}
			taken[host+prefix] = true
			routes = append(routes, matcher.Route{Name: fmt.Sprint(i), Host: host, PathPrefix: prefix})
		}
		requestPath := path.Draw(t, "path")
		want, found := findRouteNaively(routes, "x.example", requestPath)
		got, ok := matcher.New(matcher.Configuration{Routes: routes}).Route("X.example:80", requestPath)
		assert.Equal(t, ok, found)
		assert.Equal(t, got.Name, want.Name)
	})
}

func TestTrafficIsDividedByServiceWeights(t *testing.T) {
	route := matcher.Route{ServiceWeights: []matcher.ServiceWeight{{"a", 90}, {"b", 10}, {"none", 0}}}
	counts := map[string]int{}
	for i := range uint64(1000) {
		counts[route.PickService(i)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 900, "b": 100})
	assert.Equal(t, matcher.Route{}.PickService(7), "")
}

func TestOnlyIdempotentAndResumableRequestsCanRepeat(t *testing.T) {
	assert.Assert(t, matcher.Route{Kind: matcher.Idempotent}.CanRepeat())
	assert.Assert(t, matcher.Route{Kind: matcher.Streaming, Resumable: true}.CanRepeat())
	assert.Assert(t, !matcher.Route{Kind: matcher.Streaming}.CanRepeat())
	assert.Assert(t, !matcher.Route{Resumable: true}.CanRepeat(), "requests of the zero kind run at most once")
}

func ExampleMatcher_Workspace() {
	m := matcher.New(matcher.Configuration{Workspaces: []matcher.Workspace{{Name: "clinic", APIKeys: []string{"k1", "k2"}}}})
	workspace, found := m.Workspace("k2")
	fmt.Println(workspace.Name, found, m.RequiresKey())
	// Output: clinic true true
}
