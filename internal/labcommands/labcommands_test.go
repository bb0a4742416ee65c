package labcommands_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/lab/loader"
	"github.com/oleanderpick/oleanderpick/internal/labcommands"
)

// runCommand runs a command with an empty environment and returns its exit code and
// what it printed.
func runCommand(arguments ...string) (exitCode int, output, errorOutput string) {
	var outputBuilder, errorBuilder strings.Builder
	exitCode = labcommands.New(&outputBuilder, &errorBuilder, func(string) string { return "" }).Run(arguments)

	return exitCode, outputBuilder.String(), errorBuilder.String()
}

// TestInvalidSettingIsNamedInOneLine checks that a command with an invalid flag prints
// a single line that names the flag and its value, and doesn't run.
func TestInvalidSettingIsNamedInOneLine(t *testing.T) {
	loadArguments := []string{"load", "-routers", "http://127.0.0.1:1", "-tokens", "a"}
	for _, test := range []struct {
		arguments      []string
		setting, value string
	}{
		{[]string{"compare", "-scenario", "calm"}, "scenario", "calm"},
		{[]string{"compare", "-policies", "ours,best"}, "policies", "ours,best"},
		{[]string{"compare", "-rounds", "0"}, "rounds", "0"},
		{[]string{"compare", "-duration", "-1s"}, "duration", "-1s"},
		{[]string{"compare", "-overload", "0"}, "overload", "0"},
		{[]string{"compare", "-reserve", "-2"}, "reserve", "-2"},
		{[]string{"compare", "-instances", "0"}, "instances", "0"},
		{[]string{"compare", "-plot", "plot.gif"}, "plot", "plot.gif"},
		{[]string{"compare", "-fault", "{"}, "fault", "{"},
		{[]string{"simulate", "-scenario", "storm"}, "scenario", "storm"},
		{[]string{"simulate", "-engines", "1"}, "engines", "1"},
		{[]string{"load"}, "routers", ""},
		{[]string{"load", "-routers", "http://127.0.0.1:1"}, "tokens", ""},
		{append(loadArguments, "-mix", "talk=1"), "mix", "talk=1"},
		{append(loadArguments, "-rate", "0"), "rate", "0"},
	} {
		exitCode, output, errorOutput := runCommand(test.arguments...)
		assert.Equal(t, exitCode, 2, test.arguments)
		assert.Equal(t, output, "", test.arguments)
		assert.Equal(t, strings.Count(errorOutput, "\n"), 1, errorOutput)
		assert.Assert(t, strings.HasPrefix(errorOutput, "setting -"+test.setting+" "), errorOutput)
		_, printedValue, _ := strings.Cut(errorOutput, "value ")
		assert.Assert(t, strings.HasPrefix(strings.ReplaceAll(printedValue, `"`, ""), test.value+": "), errorOutput)
	}
}

// TestLoadReportMatchesServedRequests checks that the report of `load` counts exactly
// the requests that the router served with the right token and headers.
func TestLoadReportMatchesServedRequests(t *testing.T) {
	var quotes, bookings atomic.Int64
	router := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Header.Get("Authorization") != "Bearer a":
			w.WriteHeader(http.StatusUnauthorized)
		case r.Method == http.MethodGet:
			quotes.Add(1)
		case r.Header.Get("Idempotency-Key") != "":
			bookings.Add(1)
		}
	}))
	defer router.Close()
	exitCode, output, errorOutput := runCommand("load", "-routers", router.URL+"/", "-tokens", "a", "-mix", "quote=1,booking=1",
		"-rate", "200", "-duration", "200ms", "-json")
	assert.Assert(t, exitCode != 2, errorOutput)

	var report loader.Report
	assert.NilError(t, json.Unmarshal([]byte(output), &report))
	quote, _ := report.ClassSummary("quote")
	booking, _ := report.ClassSummary("booking")
	assert.Assert(t, quote.Sent > 0 && booking.Sent > 0)
	assert.Equal(t, quote.Complete, int(quotes.Load()))
	assert.Equal(t, booking.Complete, int(bookings.Load()))
	assert.Equal(t, quote.Sent+booking.Sent, quote.Complete+booking.Complete)
}
