package configurer_test

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/configurer"
)

func TestParseSettingsReportsInvalidFlag(t *testing.T) {
	validEnvironment := map[string]string{
		"OLEANDERPICK_NAME":        "entry-1",
		"OLEANDERPICK_DATA_CENTRE": "north",
		"OLEANDERPICK_PLATFORM":    "http://127.0.0.1:9000",
	}
	tests := []struct {
		name      string
		arguments []string
		wantError string
	}{
		{"complete", nil, ""},
		{"flag over variable", []string{"-name", ""}, `setting -name (OLEANDERPICK_NAME): value "": allowed: a name that is not empty`},
		{"platform", []string{"-platform", "ftp://x"}, `value "ftp://x": allowed: a URL that starts with`},
		{"level", []string{"-log-level", "loud"}, `value "loud": allowed: trace, debug, info, warn, error`},
		{"open plain", []string{"-listen", "0.0.0.0:80"}, `value "0.0.0.0:80": allowed: a loopback address, or any with -tls-cert`},
		{"half TLS", []string{"-tls-cert", "a.pem"}, "set together with -tls-cert"},
		{"peer TLS", []string{"-peer-tls-cert", "a.pem"}, "set together with -peer-tls-key"},
		{"queue", []string{"-queue-limit", "0"}, `value "0": allowed: 1 to 1048576 requests`},
		{"interval", []string{"-exchange-interval", "1ms"}, `value "1ms": allowed: 20ms to 10s`},
		{"unknown", []string{"-colour", "red"}, "flag provided but not defined"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			getenv := func(key string) string { return validEnvironment[key] }
			_, err := configurer.ParseSettings(test.arguments, getenv, io.Discard)
			if test.wantError == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, test.wantError)
		})
	}
}

func TestParseSettingsNamesInvalidVariable(t *testing.T) {
	getenv := func(key string) string {
		return map[string]string{"OLEANDERPICK_QUEUE_LIMIT": "many"}[key]
	}
	_, err := configurer.ParseSettings(nil, getenv, io.Discard)
	assert.ErrorContains(t, err, `setting OLEANDERPICK_QUEUE_LIMIT: value "many"`)
}
