package flagger

import (
	"os"
	"strings"

	"github.com/go-faster/errors"
)

// ReadSettingsFile reads a settings file, whose lines are NAME=VALUE with the names of
// environment variables. It returns a function that looks a name up in the file and, if
// the file does not have it, calls getenv. Empty lines and lines that begin with # are
// ignored.
// An error names the file and, if a line is invalid, its number.
func ReadSettingsFile(path string, getenv func(string) string) (func(string) string, error) {
	contents, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return nil, errors.Wrapf(err, "settings file %q", path)
	}
	values := map[string]string{}
	for index, line := range strings.Split(string(contents), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, value, found := strings.Cut(line, "=")
		if !found {
			return nil, errors.Errorf("settings file %q line %d: value %q: allowed: NAME=VALUE", path, index+1, line)
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
