package declarer

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Limits on the fields of a resource and on its problems.
const (
	// MaxNameBytes is the length of the longest name, in bytes.
	MaxNameBytes = 128
	// MaxListEntries is the largest number of entries in a list.
	MaxListEntries = 512
	// MaxProblems is the largest number of problems reported for one resource.
	MaxProblems = 16
	// MaxReasonBytes is the length of the longest Problem.Reason, in bytes. A
	// longer one is cut off and gets "..." appended.
	MaxReasonBytes = 500
	// MaxDuration is the longest duration that a field may hold.
	MaxDuration = 24 * time.Hour
)

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)
	modelPattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._:/-]*[A-Za-z0-9])?$`)
)

// validator checks the fields of one resource and collects its problems.
type validator struct {
	key      Key
	problems []Problem
}

// addProblem appends a problem, or drops it if there are MaxProblems already.
func (v *validator) addProblem(field, format string, values ...any) {
	if len(v.problems) >= MaxProblems {
		return
	}
	v.problems = append(v.problems, Problem{
		Kind: v.key.Kind, Name: v.key.Name, Field: truncate(field, MaxNameBytes), Reason: truncate(fmt.Sprintf(format, values...), MaxReasonBytes),
	})
}

// truncate returns the text, or its first maxBytes bytes and "..." if it is
// longer. A character that would be cut in two is left out.
func truncate(text string, maxBytes int) string {
	if len(text) <= maxBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxBytes], "") + "..."
}

func (v *validator) checkName(name string) {
	if len(name) > MaxNameBytes || !namePattern.MatchString(name) {
		v.addProblem("name", "%q is not made of a-z, 0-9, '.', '_' and '-', at most %d of them", name, MaxNameBytes)
	}
}

func (v *validator) checkDuration(field string, value Duration) {
	if value < 0 || value.AsDuration() > MaxDuration {
		v.addProblem(field, "%s is not between 0s and %s", value, MaxDuration)
	}
}

// checkPositive checks that a duration is above 0 and at most MaxDuration.
func (v *validator) checkPositive(field string, value Duration) {
	v.checkDuration(field, value)
	if value == 0 {
		v.addProblem(field, "%s is not longer than 0s", value)
	}
}

func (v *validator) checkAtLeast(field string, value, minimum int) {
	if value < minimum {
		v.addProblem(field, "%d is less than %d", value, minimum)
	}
}

func (v *validator) checkOneOf(field, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		v.addProblem(field, "%q is not one of %q", value, allowed)
	}
}

// checkList checks that a list is not too long and has no duplicates, and calls
// checkEntry for each distinct entry.
func (v *validator) checkList(field string, values []string, checkEntry func(value string)) {
	if len(values) > MaxListEntries {
		v.addProblem(field, "%d entries are more than %d", len(values), MaxListEntries)
		return
	}
	seen := make(map[string]bool, len(values))
	for _, value := range values {
		if seen[value] {
			v.addProblem(field, "%q stands in the list twice", value)
			continue
		}
		seen[value] = true
		checkEntry(value)
	}
}

func (v *validator) checkModels(field string, values []string) {
	v.checkList(field, values, func(value string) { v.checkModel(field, value) })
}

func (v *validator) checkModel(field, value string) {
	if len(value) > MaxNameBytes || !modelPattern.MatchString(value) {
		v.addProblem(field, "%q is not a name of letters, digits, '.', '_', ':', '/' and '-'", value)
	}
}

// sha256HexLength is the number of hex digits of a SHA-256 sum.
const sha256HexLength = 64

func (v *validator) checkDigest(value string) {
	if len(value) != sha256HexLength || strings.Trim(value, "0123456789abcdef") != "" {
		v.addProblem("digests", "%q is not a SHA-256 sum of 64 digits in lower-case hex", value)
	}
}

// checkIdempotentCall checks an entry of Service.IdempotentCalls: a method, or a
// method and a path prefix.
func (v *validator) checkIdempotentCall(entry string) {
	method, path, hasPath := strings.Cut(entry, " ")
	if method == "" || method != strings.ToUpper(method) {
		v.addProblem("idempotent", "%q does not begin with a method in capitals", entry)
		return
	}
	if hasPath && !strings.HasPrefix(path, "/") {
		v.addProblem("idempotent", "%q has a path that does not begin with '/'", entry)
	}
}
