package declarer

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Limits of single values.
const (
	// MaximumName is the longest name, in bytes.
	MaximumName = 128
	// MaximumList is the largest number of entries in a list.
	MaximumList = 512
	// MaximumProblems is the largest number of problems told of one resource.
	MaximumProblems = 16
	// MaximumReason is the longest reason of a problem, in bytes.
	MaximumReason = 500
	// MaximumDuration is the longest time that a field may hold.
	MaximumDuration = 24 * time.Hour
)

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)
	modelPattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._:/-]*[A-Za-z0-9])?$`)
)

// checker collects the problems of one resource.
type checker struct {
	key      Key
	problems []Problem
}

// reject notes a problem; those beyond MaximumProblems are left out.
func (c *checker) reject(field, format string, values ...any) {
	if len(c.problems) >= MaximumProblems {
		return
	}
	c.problems = append(c.problems, Problem{
		Kind: c.key.Kind, Name: c.key.Name, Field: shorten(field, MaximumName), Reason: shorten(fmt.Sprintf(format, values...), MaximumReason),
	})
}

func shorten(text string, length int) string {
	if len(text) <= length {
		return text
	}
	return strings.ToValidUTF8(text[:length], "") + "..."
}

func (c *checker) name(name string) {
	if len(name) > MaximumName || !namePattern.MatchString(name) {
		c.reject("name", "%q is not made of a-z, 0-9, '.', '_' and '-', at most %d of them", name, MaximumName)
	}
}

func (c *checker) duration(field string, value Duration) {
	if value < 0 || value.AsDuration() > MaximumDuration {
		c.reject(field, "%s is not between 0s and %s", value, MaximumDuration)
	}
}

func (c *checker) positive(field string, value Duration) {
	c.duration(field, value)
	if value == 0 {
		c.reject(field, "%s is not longer than 0s", value)
	}
}

func (c *checker) atLeast(field string, value, least int) {
	if value < least {
		c.reject(field, "%d is less than %d", value, least)
	}
}

func (c *checker) oneOf(field, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.reject(field, "%q is not one of %q", value, allowed)
	}
}

// list checks the size of a list and that no entry stands in it twice, and
// hands each entry to inspect.
func (c *checker) list(field string, values []string, inspect func(value string)) {
	if len(values) > MaximumList {
		c.reject(field, "%d entries are more than %d", len(values), MaximumList)
		return
	}
	seen := make(map[string]bool, len(values))
	for _, value := range values {
		if seen[value] {
			c.reject(field, "%q stands in the list twice", value)
			continue
		}
		seen[value] = true
		inspect(value)
	}
}

func (c *checker) models(field string, values []string) {
	c.list(field, values, func(value string) { c.model(field, value) })
}

func (c *checker) model(field, value string) {
	if len(value) > MaximumName || !modelPattern.MatchString(value) {
		c.reject(field, "%q is not a name of letters, digits, '.', '_', ':', '/' and '-'", value)
	}
}

// digestLength is the length of a SHA-256 sum in hex.
const digestLength = 64

func (c *checker) digest(value string) {
	if len(value) != digestLength || strings.Trim(value, "0123456789abcdef") != "" {
		c.reject("digests", "%q is not a SHA-256 sum of 64 digits in lower-case hex", value)
	}
}

func (c *checker) idempotent(entry string) {
	method, path, limited := strings.Cut(entry, " ")
	if method == "" || method != strings.ToUpper(method) {
		c.reject("idempotent", "%q does not begin with a method in capitals", entry)
		return
	}
	if limited && !strings.HasPrefix(path, "/") {
		c.reject("idempotent", "%q has a path that does not begin with '/'", entry)
	}
}
