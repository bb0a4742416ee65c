package declarer

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// Duration is a length of time written as a string such as "360ms" or "1m30s".
type Duration time.Duration

// AsDuration returns the duration as the standard library's type.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }

// String returns the duration in the form in which it is written.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON writes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}

// UnmarshalJSON reads the duration from a string.
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
