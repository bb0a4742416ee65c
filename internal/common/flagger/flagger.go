// Package flagger reads settings from command-line flags and, for flags that are not
// given, from environment variables or a settings file. The variable of the flag
// -queue-limit is OLEANDERPICK_QUEUE_LIMIT.
package flagger

import (
	"flag"
	"fmt"
	"strings"

	"github.com/go-faster/errors"
)

// EnvironmentPrefix is the prefix of the names of all environment variables.
const EnvironmentPrefix = "OLEANDERPICK_"

// EnvironmentVariable returns the name of the environment variable for the named flag.
func EnvironmentVariable(flagName string) string {
	return EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

// Parse parses the arguments and sets each flag that they do not contain from its
// environment variable, unless that is empty. Flags take precedence over variables and
// variables over defaults. The error of an invalid variable names it and its value.
func Parse(set *flag.FlagSet, arguments []string, getenv func(string) string) error {
	if err := set.Parse(arguments); err != nil {
		return err
	}

	isGiven := map[string]bool{}
	set.Visit(func(f *flag.Flag) { isGiven[f.Name] = true })

	var firstErr error
	set.VisitAll(func(f *flag.Flag) {
		value := getenv(EnvironmentVariable(f.Name))
		if isGiven[f.Name] || value == "" || firstErr != nil {
			return
		}
		if err := set.Set(f.Name, value); err != nil {
			firstErr = errors.Wrapf(err, "setting %s: value %q", EnvironmentVariable(f.Name), value)
		}
	})

	return firstErr
}

// InvalidValueError returns the error for a flag whose value is not allowed. The text in
// allowed describes the allowed values.
func InvalidValueError(flagName string, value any, allowed string) error {
	return errors.Errorf("setting -%s (%s): value %q: allowed: %s", flagName, EnvironmentVariable(flagName), fmt.Sprint(value), allowed)
}
