// Package switcher gets and sets the injected faults of the lab's emulated services
// over HTTP. The faults of a service, also called its switches, are a flat struct.
// Its JSON keys are the Go field names with a lower-case first letter, and durations
// are strings such as "250ms". A POST changes only the fields that its body names.
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

const maxBodyBytes = 64 << 10

var durationType = reflect.TypeFor[time.Duration]()

// Encode encodes a struct of faults as a JSON object.
func Encode[F any](faults F) (json.RawMessage, error) {
	value := reflect.ValueOf(faults)
	fields := make(map[string]any, value.NumField())
	for i := range value.NumField() {
		field := value.Field(i).Interface()
		if duration, ok := field.(time.Duration); ok {
			field = duration.String()
		}
		fields[switchName(value.Type().Field(i))] = field
	}

	return json.Marshal(fields)
}

// Decode returns the faults with those fields replaced that a JSON object names. It
// returns an error for a name that is no field, or a value that doesn't fit the field.
func Decode[F any](faults F, body []byte) (F, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return faults, errors.Wrap(err, "decode switches")
	}

	value := reflect.ValueOf(&faults).Elem()
	for i := range value.NumField() {
		name := switchName(value.Type().Field(i))
		raw, exists := fields[name]
		if !exists {
			continue
		}
		delete(fields, name)
		if err := decodeSwitch(value.Field(i), raw); err != nil {
			return faults, errors.Wrapf(err, "switch %q", name)
		}
	}
	for name := range fields {
		return faults, errors.Errorf("switch %q is unknown", name)
	}

	return faults, nil
}

// decodeSwitch decodes the JSON value of one field into it.
func decodeSwitch(field reflect.Value, raw json.RawMessage) error {
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

// switchName returns the JSON key of a field.
func switchName(field reflect.StructField) string {
	return strings.ToLower(field.Name[:1]) + field.Name[1:]
}

// Handler returns a handler that answers with the current faults, after a POST has
// changed them.
func Handler[F any](get func() F, set func(F)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
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
