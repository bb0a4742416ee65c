// Package switcher reads and sets the fault switches of the lab's stand-ins
// over HTTP. A set of switches is a flat struct; durations travel as strings
// such as "250ms", and a POST changes only the fields that it names.
package switcher

import (
	"encoding/json"
	"io"
	"net/http"
	"reflect"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/lab/responder"
)

const maxBody = 64 << 10

var durationType = reflect.TypeFor[time.Duration]()

// Encode returns the switches as a JSON object.
func Encode[F any](faults F) (json.RawMessage, error) {
	value := reflect.ValueOf(faults)
	fields := make(map[string]any, value.NumField())
	for i := range value.NumField() {
		field := value.Field(i).Interface()
		if duration, ok := field.(time.Duration); ok {
			field = duration.String()
		}
		fields[nameOf(value.Type().Field(i))] = field
	}

	return json.Marshal(fields)
}

// Decode returns the switches with the fields that a JSON object names
// changed.
func Decode[F any](faults F, body []byte) (F, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return faults, errors.Wrap(err, "decode switches")
	}

	value := reflect.ValueOf(&faults).Elem()
	for i := range value.NumField() {
		name := nameOf(value.Type().Field(i))
		raw, named := fields[name]
		if !named {
			continue
		}
		delete(fields, name)
		if err := decodeField(value.Field(i), raw); err != nil {
			return faults, errors.Wrapf(err, "switch %q", name)
		}
	}
	for name := range fields {
		return faults, errors.Errorf("switch %q is unknown", name)
	}

	return faults, nil
}

func decodeField(field reflect.Value, raw json.RawMessage) error {
	if field.Type() != durationType {
		return json.Unmarshal(raw, field.Addr().Interface())
	}

	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return err
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	field.SetInt(int64(duration))

	return nil
}

func nameOf(field reflect.StructField) string {
	return strings.ToLower(field.Name[:1]) + field.Name[1:]
}

// Handler serves GET and POST of a set of switches.
func Handler[F any](get func() F, set func(F)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
			if err != nil {
				responder.Error(w, http.StatusBadRequest, "malformed", err.Error())

				return
			}
			faults, err := Decode(get(), body)
			if err != nil {
				responder.Error(w, http.StatusBadRequest, "malformed", err.Error())

				return
			}
			set(faults)
		}

		encoded, err := Encode(get())
		if err != nil {
			responder.Error(w, http.StatusInternalServerError, "internal", err.Error())

			return
		}
		responder.JSON(w, http.StatusOK, encoded)
	}
}
