package flagger

import (
	"os"
	"strings"

	"github.com/go-faster/errors"
)

// ReadSettingsFile reads a settings file, whose lines are NAME=VALUE as in an environment,
// and returns a lookup in it that falls back to getenv. Lines that are empty or
// begin with # are passed over.
func ReadSettingsFile(path string, getenv func(string) string) (func(string) string, error) {
	contents, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return nil, errors.Wrapf(err, "settings file %q", path)
	}
	values := map[string]string{}
	for number, line := range strings.Split(string(contents), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, value, found := strings.Cut(line, "=")
		if !found {
			return nil, errors.Errorf("settings file %q line %d: value %q: allowed: NAME=VALUE", path, number+1, line)
		}
		values[strings.TrimSpace(name)] = strings.TrimSpace(value)
	}

	return func(name string) string {
		if value, ok := values[name]; ok {
			return value
		}

		return getenv(name)
	}, nil
}
