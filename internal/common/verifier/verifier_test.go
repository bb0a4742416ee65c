package verifier_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/internal/common/verifier"
)

// check parses an answer and checks its head.
func check(text string) error {
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()

	return verifier.CheckHead(response)
}

func TestCheckHeadAcceptsSingleAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"success":       "HTTP/1.1 200 OK\r\nA: b\r\n\r\n",
		"no reason":     "HTTP/1.1 200\r\nA: b\r\n\r\n",
		"names HTTP":    "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy, HTTP/1.0 200ms\r\n\r\n",
		"names version": "HTTP/1.1 505 HTTP/1.1 Not Supported\r\nA: b\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) { assert.NilError(t, check(text)) })
	}
}

// Guards against a head that is read from the beginning of one answer and the whole of another, wherever
// the first one was broken off.
func TestNoTwoAnswersMakeOneHead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) string {
			status := rapid.SampledFrom([]string{"200 OK", "421 Misdirected Request", "503 Busy: full", "429", "204 "}).Draw(t, label)
			fields := rapid.SliceOfN(rapid.SampledFrom([]string{"A: b c", "Not-Run: 1", "Request-Id: r1", "Long: a\r\n b"}), 0, 3).Draw(t, label)

			return fmt.Sprintf("HTTP/1.1 %s\r\n%s\r\n", status, strings.Join(append(fields, ""), "\r\n"))
		}
		first, second := draw("first"), draw("second")
		cut := rapid.IntRange(1, len(first)-len("\r\n")-1).Draw(t, "cut")
		if err := check(first[:cut] + second); err == nil {
			t.Fatalf("%q", first[:cut]+second)
		}
	})
}

func TestCheckHeadNamesItsError(t *testing.T) {
	assert.Assert(t, errors.Is(check("HTTP/1.1 421 MisHTTP/1.1 200 OK\r\nA: b\r\n\r\n"), verifier.ErrSeveralMessages))
}

func TestFindHeadPassesOverHeadsThatAreNotAccepted(t *testing.T) {
	accept := func(_ int, header http.Header) bool { return header.Get("A") == "b" }
	const head = "HTTP/1.1 200 OK\r\nA: %s\r\n\r\n"
	assert.Assert(t, verifier.FindHead([]byte("text"+fmt.Sprintf(head, "c")+fmt.Sprintf(head, "b")), accept))
	assert.Assert(t, !verifier.FindHead([]byte("HTTP/1.1 text"+fmt.Sprintf(head, "c")), accept))
}

// In whatever pieces a body arrives, a Reader passes on all of it, or what stands before the first
// head that FindHead finds.
func TestReaderPassesOnWhatStandsBeforeAnotherAnswer(t *testing.T) {
	accept := func(_ int, header http.Header) bool { return header.Get("Request-Id") != "" }
	pieces := []string{
		"text", "HTTP/1.", "HTTP/1.1 200 OK", "\r\n", "\n", "Request-Id: r0", "A: b", strings.Repeat("x", verifier.MaxHeadBytes),
		"HTTP/1.1 200 OK\r\nRequest-Id: r0\r\n\r\n", "HTTP/1.1 503 Busy\r\nA: b\r\n\r\n",
	}
	rapid.Check(t, func(t *rapid.T) {
		body := []byte(strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 12).Draw(t, "body"), ""))
		var source io.Reader = bytes.NewReader(body)
		if rapid.Bool().Draw(t, "a byte at a time") {
			source = iotest.OneByteReader(source)
		}
		read, err := io.ReadAll(verifier.NewReader(source, accept))
		assert.Assert(t, bytes.HasPrefix(body, read))
		if verifier.FindHead(body, accept) {
			assert.Assert(t, errors.Is(err, verifier.ErrSeveralMessages))
			assert.Assert(t, bytes.HasPrefix(body[len(read):], []byte("HTTP/1.")))
		} else {
			assert.NilError(t, err)
			assert.Equal(t, len(read), len(body))
		}
	})
}

// Guards against a refusal whose body was broken off and looks whole, since the next answer fills it up.
func TestBodyThatIsFilledUpFromTheNextAnswerMayHoldItsStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SampledFrom([]string{"", "no", "{\"error\":\"busy\"}", "a long text that says why\n"}).Draw(t, "body")
		next := "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 3\r\n\r\nown"
		cut := rapid.IntRange(0, len(body)).Draw(t, "cut")
		filled := body[:cut] + (next + next)[:len(body)-cut]
		assert.Equal(t, verifier.MayHoldStart([]byte(filled)), cut < len(body), "%q", filled)
	})
}
