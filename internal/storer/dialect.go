package storer

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/internal/common/splitter"
)

// Verb is the operation of a call.
type Verb int

// The operations of the object API.
const (
	Get Verb = iota
	List
	Watch
	Put
	PutStatus
	Delete
)

// String returns the verb in the form used in error messages.
func (v Verb) String() string {
	return [...]string{"get", "list", "watch", "put", "put status", "delete"}[v]
}

// Call is one call of the object API, independent of the dialect.
type Call struct {
	Verb Verb
	Kind string
	// Name is the name of the object, empty for a call on a whole kind.
	Name string
	// AfterName is the name after which a listing begins, empty for the first page.
	AfterName string
	// MaxItems is the maximum number of objects that a listing returns; 0 leaves it to
	// the platform.
	MaxItems int
	// AfterVersion is the object version, or for a whole kind the value of the store's
	// write counter, after which a watch reports changes.
	AfterVersion uint64
	// MaxWait is the maximum time that a watch waits for a change.
	MaxWait time.Duration
	// Value is the spec or status that is written.
	Value json.RawMessage
	// Condition is the condition of a write.
	Condition Condition
}

// isWrite reports whether the call may change an object.
func (c Call) isWrite() bool {
	return c.Verb == Put || c.Verb == PutStatus || c.Verb == Delete
}

// HTTPRequest is the HTTP request of a call.
type HTTPRequest struct {
	Method string
	// Path is appended to the base URL.
	Path   string
	Query  url.Values
	Header map[string]string
	Body   []byte
}

// Dialect encodes calls and decodes answers in the form that a platform's object API
// uses. It keeps no state.
type Dialect interface {
	// Encode returns the HTTP request of a call.
	Encode(call Call) (HTTPRequest, error)
	// DecodeObject decodes an answer that contains one object.
	DecodeObject(kind string, body []byte) (Object, error)
	// DecodePage decodes the answer of a listing.
	DecodePage(kind string, body []byte) (Page, error)
	// DecodeChanges decodes the answer of a watch of a whole kind.
	DecodeChanges(kind string, body []byte) (Changes, error)
	// Epoch returns the store's epoch from the header of an answer: a number that rises
	// each time the store comes back from an older copy of its objects. It is 0 if
	// the answer does not state it.
	Epoch(header http.Header) uint64
	// ConflictStatus returns the HTTP status that answers a write whose condition
	// did not hold. The body of such an answer is the current object.
	ConflictStatus() int
}

// instancesKind is the kind of a List call that asks for the list of instances.
const instancesKind = "instances"

// nativeDialect is the dialect of oleanderpick's own stand-in for a platform.
type nativeDialect struct{}

// Encode returns the HTTP request of a call.
func (nativeDialect) Encode(call Call) (HTTPRequest, error) {
	message := HTTPRequest{Method: http.MethodGet, Path: nativePath(call), Query: url.Values{}, Header: map[string]string{}}
	switch call.Verb {
	case List:
		if call.MaxItems > 0 {
			message.Query.Set("limit", strconv.Itoa(call.MaxItems))
		}
		if call.AfterName != "" {
			message.Query.Set("after", call.AfterName)
		}
	case Watch:
		message.Query.Set("watch", strconv.FormatUint(call.AfterVersion, 10))
		message.Query.Set("wait", call.MaxWait.String())
	case Put:
		return encodeNativeWrite(message, call, "spec")
	case PutStatus:
		message.Path += "/status"

		return encodeNativeWrite(message, call, "status")
	case Delete:
		message.Method = http.MethodDelete
		message.Header = nativeConditionHeader(call.Condition)
	case Get:
	}

	return message, nil
}

// nativePath returns the URL path of a kind, an object or the list of instances.
func nativePath(call Call) string {
	if call.Kind == instancesKind {
		return "/instances"
	}
	path := "/objects/" + url.PathEscape(call.Kind)
	if call.Name == "" {
		return path
	}

	return path + "/" + url.PathEscape(call.Name)
}

// encodeNativeWrite completes the request of a write, whose body is an object with the
// given field, "spec" or "status".
func encodeNativeWrite(message HTTPRequest, call Call, field string) (HTTPRequest, error) {
	body, err := json.Marshal(map[string]json.RawMessage{field: call.Value})
	if err != nil {
		return HTTPRequest{}, err
	}
	message.Method = http.MethodPut
	message.Body = body
	message.Header = nativeConditionHeader(call.Condition)

	return message, nil
}

// nativeConditionHeader returns the HTTP header that states the condition of a write.
func nativeConditionHeader(condition Condition) map[string]string {
	if condition.MustNotExist() {
		return map[string]string{"If-None-Match": "*"}
	}
	if version, ok := condition.ExpectedVersion(); ok {
		return map[string]string{"If-Match": strconv.FormatUint(version, 10)}
	}

	return nil
}

// decodeAll decodes values one by one, so that one that cannot be decoded does not spoil the
// others. It calls use with each that can be decoded.
func decodeAll[V any](values []json.RawMessage, use func(V)) {
	for _, encoded := range values {
		var value V
		if json.Unmarshal(encoded, &value) == nil {
			use(value)
		}
	}
}

// DecodeObject decodes an answer that contains one object.
func (nativeDialect) DecodeObject(_ string, body []byte) (object Object, err error) {
	err = json.Unmarshal(body, &object)

	return object, err
}

// DecodePage decodes the answer of a listing.
func (nativeDialect) DecodePage(_ string, body []byte) (page Page, err error) {
	fields, err := splitter.Fields(body)
	if err != nil {
		return Page{}, err
	}
	items, err := splitter.Elements(fields["items"])
	if err != nil {
		return Page{}, err
	}
	if err := decodeFields(fields, map[string]any{"revision": &page.StoreCounter, "more": &page.HasMore}); err != nil {
		return Page{}, err
	}
	page.Items = make([]Object, 0, len(items))
	decodeAll(items, func(object Object) { page.Items = append(page.Items, object) })
	for _, item := range items {
		if itemFields, err := splitter.Fields(item); err == nil {
			var name string
			if json.Unmarshal(itemFields["name"], &name) == nil {
				page.LastName = name
			}
		}
	}

	return page, nil
}

// decodeFields decodes the fields of an object that are there, by name.
func decodeFields(fields map[string]json.RawMessage, values map[string]any) error {
	for name, value := range values {
		if encoded, ok := fields[name]; ok {
			if err := json.Unmarshal(encoded, value); err != nil {
				return errors.Wrap(err, name)
			}
		}
	}

	return nil
}

// DecodeChanges decodes the answer of a watch of a whole kind.
func (nativeDialect) DecodeChanges(_ string, body []byte) (changes Changes, err error) {
	fields, err := splitter.Fields(body)
	if err != nil {
		return Changes{}, err
	}
	items, err := splitter.Elements(fields["items"])
	if err != nil {
		return Changes{}, err
	}
	if err := decodeFields(fields, map[string]any{"revision": &changes.StoreCounter, "gone": &changes.DeletedNames}); err != nil {
		return Changes{}, err
	}
	decodeAll(items, func(object Object) { changes.Items = append(changes.Items, object) })

	return changes, nil
}

// Epoch returns 0, because the stand-in never loses a write.
func (nativeDialect) Epoch(http.Header) uint64 {
	return 0
}

// ConflictStatus returns 412.
func (nativeDialect) ConflictStatus() int {
	return http.StatusPreconditionFailed
}
