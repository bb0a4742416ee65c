package main

import (
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestHandlerFillsTheLocalEndpointFirstAndRefusesWhenAllAreFull(t *testing.T) {
	h := newHandler(time.Now())
	for _, want := range []struct {
		status int
		body   string
	}{{http.StatusOK, "near"}, {http.StatusOK, "far"}, {http.StatusServiceUnavailable, ""}} {
		response := httptest.NewRecorder()
		h.ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/", nil))
		assert.Equal(t, response.Code, want.status)
		assert.Equal(t, response.Body.String(), want.body)
	}
}

func TestLibraryImportsNothingInternal(t *testing.T) {
	const module = "github.com/oleanderpick/oleanderpick"
	for _, packages := range []string{module + "/pkg/...", module + "/examples/embed"} {
		output, err := exec.Command("go", "list", "-deps", "-f", "{{.ImportPath}}", packages).Output()
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(string(output), module+"/pkg/scheduler"))
		for path := range strings.Lines(string(output)) {
			assert.Assert(t, !strings.HasPrefix(path, module+"/internal/"), "%s imports %s", packages, path)
		}
	}
}

func TestLibraryPackagesHavePackageComments(t *testing.T) {
	output, err := exec.Command("go", "list", "-f", "{{.ImportPath}}: {{.Doc}}", "github.com/oleanderpick/oleanderpick/pkg/...").Output()
	assert.NilError(t, err)
	for line := range strings.Lines(string(output)) {
		path, comment, _ := strings.Cut(strings.TrimSpace(line), ": ")
		assert.Assert(t, strings.HasPrefix(comment, "Package "+path[strings.LastIndex(path, "/")+1:]+" "), line)
	}
}
