// Package verifier tells whether an HTTP answer is a single message.
//
// HTTP/1.1 delimits the messages of a connection by their own contents alone. A sender that breaks
// off a message and goes on with another one makes a parser read both as one, with the status of
// the first and the fields of the second. Neither message makes the statements of that answer. The start
// line of the second message is then inside the first one.
package verifier

import (
	"bufio"
	"bytes"
	"net/http"
	"regexp"

	"github.com/go-faster/errors"
)

// ErrSeveralMessages means that the head of an answer was read from several messages.
var ErrSeveralMessages = errors.New("the head of the answer contains the start of another one")

// ErrNotFinal means that the status of an answer is not that of a final one. After status 101 (Switching Protocols),
// for which no request asks, the body is the connection.
var ErrNotFinal = errors.New("the status of the answer is not that of a final one")

const (
	// maxHeads limits the heads of other answers that are parsed in one body.
	maxHeads = 64
	// MaxHeadBytes limits the size of the head of another answer that is found in a body.
	MaxHeadBytes = 8 << 10
	// startLinePrefix begins each answer of HTTP/1.0 and HTTP/1.1.
	startLinePrefix = "HTTP/1."
)

// startLine matches the start line of an answer.
var startLine = regexp.MustCompile(`HTTP/\d\.\d \d\d\d( |$)`)

// Accept reports whether an answer with a status code and header fields counts as another answer.
type Accept func(status int, header http.Header) bool

// maxStatus is the highest status code of HTTP (RFC 9110, section 15). What a higher one says is not defined, so
// that it cannot be forwarded as an answer.
const maxStatus = 599

// CheckHead returns ErrNotFinal if the status of the response is below 200 or above 599, and ErrSeveralMessages if the status
// line or a field contains the start line of another answer.
func CheckHead(response *http.Response) error {
	if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
		return errors.Wrapf(ErrNotFinal, "status %d", response.StatusCode)
	}
	if startLine.MatchString(response.Status) {
		return ErrSeveralMessages
	}
	for name, values := range response.Header {
		if startLine.MatchString(name) {
			return ErrSeveralMessages
		}
		for _, value := range values {
			if startLine.MatchString(value) {
				return ErrSeveralMessages
			}
		}
	}

	return nil
}

// EndsWithConnection reports whether only the end of the connection shows where the response's body ends.
func EndsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// MustHaveBody reports whether an answer to a request with a method was broken off behind its head if its body is
// empty: a success whose body only the end of the connection ends.
func MustHaveBody(method string, response *http.Response) bool {
	return response.StatusCode/100 == 2 && method != http.MethodHead && EndsWithConnection(response)
}

// MayHoldStart reports whether another answer may begin in a body: the body contains the beginning of a start
// line, or ends with a part of one. The body of an answer that was broken off is filled up from the next answer.
func MayHoldStart(body []byte) bool {
	if bytes.Contains(body, []byte(startLinePrefix)) {
		return true
	}
	for n := 1; n < len(startLinePrefix); n++ {
		if bytes.HasSuffix(body, []byte(startLinePrefix[:n])) {
			return true
		}
	}

	return false
}

// FindHead returns whether a body contains the head of an answer that the function accepts. It looks at
// maxHeads heads of at most MaxHeadBytes.
func FindHead(body []byte, accept Accept) bool {
	for range maxHeads {
		start := bytes.Index(body, []byte(startLinePrefix))
		if start < 0 {
			return false
		}
		body = body[start:]
		next, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(body[:min(len(body), MaxHeadBytes)])), nil)
		if err == nil {
			_ = next.Body.Close()
			if accept(next.StatusCode, next.Header) {
				return true
			}
		}
		body = body[len(startLinePrefix):]
	}

	return false
}
