package declarer

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// Decode decodes the spec and checks everything that can be checked without
// other resources. A field that the kind does not define is a problem. Decode
// returns a ServiceClass, Workspace, Service, Endpoint or PlannedChange with
// defaults filled in, or nil and the problems.
func Decode(resource Resource) (any, []Problem) {
	return decode(resource, true)
}

// DecodeAccepted decodes a resource that was accepted before, possibly by a
// later version of the program: fields that this version does not define are
// ignored.
func DecodeAccepted(resource Resource) (any, []Problem) {
	return decode(resource, false)
}

func decode(resource Resource, strict bool) (any, []Problem) {
	v := &validator{key: resource.Key()}
	v.checkName(resource.Name)
	if len(resource.Spec) > MaxSpecBytes {
		v.addProblem("", "spec of %d bytes is over the limit of %d bytes", len(resource.Spec), MaxSpecBytes)
	}
	if len(v.problems) > 0 {
		return nil, v.problems
	}
	value := decodeKind(v, resource, strict)
	if len(v.problems) > 0 {
		return nil, v.problems
	}
	return value, nil
}

func decodeKind(v *validator, resource Resource, strict bool) any {
	switch resource.Kind {
	case KindServiceClass:
		return decodeSpec(v, resource, strict, defaultServiceClass, (*ServiceClass).completeAndValidate)
	case KindWorkspace:
		return decodeSpec(v, resource, strict, Workspace{}, (*Workspace).completeAndValidate)
	case KindService:
		return decodeSpec(v, resource, strict, Service{}, (*Service).completeAndValidate)
	case KindEndpoint:
		return decodeSpec(v, resource, strict, defaultEndpoint, (*Endpoint).completeAndValidate)
	case KindPlannedChange:
		return decodeSpec(v, resource, strict, defaultPlannedChange, (*PlannedChange).completeAndValidate)
	default:
		v.addProblem("kind", "%q is not one of %s", resource.Kind, strings.Join(Kinds(), ", "))
		return nil
	}
}

// decodeSpec decodes a spec into a value that holds the defaults, then completes
// and validates it. It returns nil if the spec cannot be decoded.
func decodeSpec[T any](v *validator, resource Resource, strict bool, value T, completeAndValidate func(*T, string, *validator)) any {
	if err := unmarshal(resource.Spec, strict, &value); err != nil {
		addDecodeProblems[T](v, resource.Spec, strict, err)
		return nil
	}
	completeAndValidate(&value, resource.Name, v)
	return value
}

// unmarshal decodes a single JSON value. It returns an error if data follows or,
// when strict, if a field is unknown.
func unmarshal(spec []byte, strict bool, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(spec))
	if strict {
		decoder.DisallowUnknownFields()
	}
	if err := decoder.Decode(value); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("there is data after the end of the object")
	}
	return nil
}

// addDecodeProblems adds the problems of a spec that cannot be decoded. It
// decodes the fields one by one, so that each problem names its field.
func addDecodeProblems[T any](v *validator, spec []byte, strict bool, cause error) {
	var fields map[string]json.RawMessage
	if err := unmarshal(spec, strict, &fields); err != nil {
		v.addProblem("", "spec is not a JSON object: %s", describeDecodeError(err))
		return
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if len(v.problems) >= MaxProblems {
			return
		}
		var value T
		oneField, err := json.Marshal(map[string]json.RawMessage{name: fields[name]})
		if err == nil {
			err = unmarshal(oneField, strict, &value)
		}
		if err != nil {
			v.addProblem(name, "%s: %s", excerpt(fields[name]), describeDecodeError(err))
		}
	}
	if len(v.problems) == 0 {
		v.addProblem("", "spec cannot be read: %s", describeDecodeError(cause))
	}
}

// describeDecodeError returns the text of a decoding error without Go types and
// struct names, for operators to read.
func describeDecodeError(err error) string {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return "a JSON " + mismatch.Value + " does not fit, want " + describeJSONType(mismatch.Type)
	}
	text := strings.TrimPrefix(err.Error(), "json: ")
	if strings.HasPrefix(text, "unknown field") {
		return "unknown field"
	}
	return text
}

// describeJSONType returns a phrase for the JSON value that decodes into the Go
// type.
func describeJSONType(goType reflect.Type) string {
	switch goType.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list"
	default:
		return "an object"
	}
}

// maxExcerptBytes is how much of an undecodable value a problem shows, in bytes.
const maxExcerptBytes = 60

func excerpt(raw json.RawMessage) string { return truncate(string(raw), maxExcerptBytes) }
