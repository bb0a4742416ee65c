package declarer

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// Duration is a duration that JSON holds as a string such as "360ms" or "1m30s".
type Duration time.Duration

// AsDuration returns the duration as a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// String returns the duration in the form that time.ParseDuration reads.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON encodes the duration as a JSON string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}

// UnmarshalJSON decodes the duration from a JSON string. It returns an error if
// the value is not a string or not a duration.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.Errorf("%s is not a duration in quotes such as \"360ms\"", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("%q is not a duration such as \"360ms\"", text)
	}
	*d = Duration(parsed)
	return nil
}
