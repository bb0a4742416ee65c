package storer

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Verb is what a call does.
type Verb int

// The verbs.
const (
	Get Verb = iota
	List
	Watch
	Put
	PutStatus
	Delete
)

// String returns the verb as logs show it.
func (v Verb) String() string {
	return [...]string{"get", "list", "watch", "put", "put status", "delete"}[v]
}

// Call is one call of the object API, whatever the dialect.
type Call struct {
	Verb Verb
	Kind string
	// Name is empty for calls that concern a whole kind.
	Name string
	// After is the name that a listing goes on from.
	After string
	// Limit is the most objects that a listing returns.
	Limit int
	// Version is the revision that a watch goes on from.
	Version uint64
	// Wait is the longest time that a watch waits for a change.
	Wait time.Duration
	// Value is what is written.
	Value     json.RawMessage
	Condition Condition
}

func (c Call) writes() bool {
	return c.Verb == Put || c.Verb == PutStatus || c.Verb == Delete
}

// Message is a call as it goes over the wire.
type Message struct {
	Method string
	Path   string
	Query  url.Values
	Header map[string]string
	Body   []byte
}

// Dialect is how a platform's object API spells calls and answers. It keeps no
// state.
type Dialect interface {
	Encode(call Call) (Message, error)
	DecodeObject(kind string, body []byte) (Object, error)
	DecodePage(kind string, body []byte) (Page, error)
	DecodeChanges(kind string, body []byte) (Changes, error)
	// ConflictStatus is the HTTP status of a write whose condition did not
	// hold.
	ConflictStatus() int
}

// instanceList is the kind under which the native dialect lists instances.
const instanceList = "instances"

// native is the dialect of oleanderpick's own stand-in platform.
type native struct{}

// Encode spells a call.
func (native) Encode(call Call) (Message, error) {
	message := Message{Method: http.MethodGet, Path: nativePath(call), Query: url.Values{}, Header: map[string]string{}}
	switch call.Verb {
	case List:
		if call.Limit > 0 {
			message.Query.Set("limit", strconv.Itoa(call.Limit))
		}
		if call.After != "" {
			message.Query.Set("after", call.After)
		}
	case Watch:
		message.Query.Set("watch", strconv.FormatUint(call.Version, 10))
		message.Query.Set("wait", call.Wait.String())
	case Put:
		return nativeWrite(message, call, "spec")
	case PutStatus:
		message.Path += "/status"

		return nativeWrite(message, call, "status")
	case Delete:
		message.Method = http.MethodDelete
		message.Header = nativeCondition(call.Condition)
	case Get:
	}

	return message, nil
}

func nativePath(call Call) string {
	if call.Kind == instanceList {
		return "/instances"
	}
	path := "/objects/" + url.PathEscape(call.Kind)
	if call.Name == "" {
		return path
	}

	return path + "/" + url.PathEscape(call.Name)
}

func nativeWrite(message Message, call Call, field string) (Message, error) {
	body, err := json.Marshal(map[string]json.RawMessage{field: call.Value})
	if err != nil {
		return Message{}, err
	}
	message.Method = http.MethodPut
	message.Body = body
	message.Header = nativeCondition(call.Condition)

	return message, nil
}

func nativeCondition(condition Condition) map[string]string {
	if condition.IsAbsent() {
		return map[string]string{"If-None-Match": "*"}
	}
	if version, ok := condition.Version(); ok {
		return map[string]string{"If-Match": strconv.FormatUint(version, 10)}
	}

	return nil
}

// DecodeObject reads an answer with one object.
func (native) DecodeObject(_ string, body []byte) (object Object, err error) {
	err = json.Unmarshal(body, &object)

	return object, err
}

// DecodePage reads the answer of a listing.
func (native) DecodePage(_ string, body []byte) (page Page, err error) {
	err = json.Unmarshal(body, &page)

	return page, err
}

// DecodeChanges reads the answer of a watch of a kind.
func (native) DecodeChanges(_ string, body []byte) (changes Changes, err error) {
	err = json.Unmarshal(body, &changes)

	return changes, err
}

// ConflictStatus is 412.
func (native) ConflictStatus() int {
	return http.StatusPreconditionFailed
}
