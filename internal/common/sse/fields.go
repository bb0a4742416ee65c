package sse

import (
	"bytes"
	"slices"

	"github.com/go-faster/errors"
)

// standardFields are the fields that the standard defines. A comment is a line with an empty name.
var standardFields = []string{"", "id", "data", "event", "retry"}

// fieldSet are the fields that a strict reader accepts; nil accepts all.
type fieldSet []string

// newFieldSet returns the standard fields and others.
func newFieldSet(others []string) fieldSet {
	return slices.Concat(standardFields, others)
}

// check returns ErrMalformed if a line without its line break is not of one of the fields.
func (s fieldSet) check(line []byte) error {
	if s == nil {
		return nil
	}
	name, _, _ := bytes.Cut(line, []byte(":"))
	if !slices.ContainsFunc(s, func(field string) bool { return string(name) == field }) {
		return errors.Wrapf(ErrMalformed, "line %.40q", line)
	}

	return nil
}
