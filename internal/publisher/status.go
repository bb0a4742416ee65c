package publisher

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/pkg/reviser"
)

// AcceptanceSection is the field of a resource's status that states whether the
// resource was accepted. Other writers own the other fields of the status.
const AcceptanceSection = "acceptance"

// ProgressSection is the field of a PlannedChange's status that holds its
// progress.
const ProgressSection = "progress"

// StatusSection returns the field of a status with the given name, or nil if the
// status is not a JSON object or has no such field.
func StatusSection(status json.RawMessage, name string) json.RawMessage {
	var sections map[string]json.RawMessage
	if json.Unmarshal(status, &sections) != nil {
		return nil
	}
	return sections[name]
}

// WithStatusSection returns the status with one field set to the encoded value. A
// status that is not a JSON object is replaced as a whole.
func WithStatusSection(status json.RawMessage, name string, value any) (json.RawMessage, error) {
	sections := make(map[string]json.RawMessage)
	if len(status) > 0 && json.Unmarshal(status, &sections) != nil {
		sections = make(map[string]json.RawMessage) // The old status has no fields to keep.
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return nil, errors.Wrapf(err, "encode status section %s", name)
	}
	sections[name] = encoded
	return json.Marshal(sections)
}

// decodeAcceptance returns the acceptance that is stored in an object's status, or
// false if there is none that can be decoded.
func decodeAcceptance(object Object) (reviser.Status, bool) {
	section := StatusSection(object.Status, AcceptanceSection)
	if section == nil {
		return reviser.Status{}, false
	}
	var status reviser.Status
	return status, json.Unmarshal(section, &status) == nil
}
