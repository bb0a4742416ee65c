// Package flagger reads settings from flags and, for the flags that are not
// given, from environment variables: -queue-limit is OLEANDERPICK_QUEUE_LIMIT.
package flagger

import (
	"flag"
	"fmt"
	"strings"

	"github.com/go-faster/errors"
)

// EnvironmentPrefix starts the name of every environment variable.
const EnvironmentPrefix = "OLEANDERPICK_"

// EnvironmentVariable returns the environment variable for a flag's name.
func EnvironmentVariable(name string) string {
	return EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// Parse reads the arguments, then fills the flags that they do not give from
// the environment. Flags go before variables, variables before defaults.
func Parse(set *flag.FlagSet, arguments []string, getenv func(string) string) error {
	if err := set.Parse(arguments); err != nil {
		return err
	}

	given := map[string]bool{}
	set.Visit(func(f *flag.Flag) { given[f.Name] = true })

	var failed error
	set.VisitAll(func(f *flag.Flag) {
		value := getenv(EnvironmentVariable(f.Name))
		if given[f.Name] || value == "" || failed != nil {
			return
		}
		if err := set.Set(f.Name, value); err != nil {
			failed = errors.Wrapf(err, "setting %s: value %q", EnvironmentVariable(f.Name), value)
		}
	})

	return failed
}

// InvalidValueError returns the error of a setting whose value is not allowed.
func InvalidValueError(name string, value any, allowed string) error {
	return errors.Errorf("setting -%s (%s): value %q: allowed: %s", name, EnvironmentVariable(name), fmt.Sprint(value), allowed)
}
