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

// CheckHead returns ErrSeveralMessages if the status line or a field of the response contains the start
// line of another answer.
func CheckHead(response *http.Response) error {
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
