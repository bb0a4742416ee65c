package sse_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/common/sse"
)

func TestRawReaderReturnsEventsUnchanged(t *testing.T) {
	longEvent := "data: " + strings.Repeat("x", 10_000) + "\n\n"
	for name, test := range map[string]struct {
		stream  string
		wantIDs []int64
		wantErr error
	}{
		"numbered":           {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []int64{1, 2}, io.EOF},
		"extra lines":        {"weight-versions: 3\r\nid:7\r\ndata: a\r\n\r\n", []int64{7}, io.EOF},
		"not numbered":       {"data: a\n\n: note\n\n", []int64{-1, -1}, io.EOF},
		"cut in line":        {"id: 1\ndata: a\n\nid: 2\nda", []int64{1}, io.ErrUnexpectedEOF},
		"cut in event":       {"id: 1\ndata: a\n", nil, io.ErrUnexpectedEOF},
		"not a number":       {"id: x\n\n", nil, sse.ErrMalformed},
		"longer than buffer": {"id: 1\n" + longEvent, []int64{1}, io.EOF},
		"too many lines":     {strings.Repeat("data: x\n", 10_000), nil, sse.ErrMalformed},
		"too long":           {strings.Repeat("data: "+strings.Repeat("x", 10_000), 8), nil, sse.ErrMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			reader := sse.NewRawReader(iotest.OneByteReader(strings.NewReader(test.stream)))
			returned := ""
			var ids []int64
			for {
				event, err := reader.Next()
				if err != nil {
					assert.ErrorIs(t, err, test.wantErr)

					break
				}
				ids = append(ids, event.ID)
				returned += string(event.Bytes)
			}
			assert.DeepEqual(t, ids, test.wantIDs)
			assert.Assert(t, strings.HasPrefix(test.stream, returned))
		})
	}
}

// Guards against bytes of a next answer, which stands behind a stream without an end of its own, being
// taken for an event.
func TestStrictReadersRefuseLinesThatAreNoFields(t *testing.T) {
	for stream, wantEvents := range map[string]int{
		"id: 1\ndata: a\nevent: e\nretry: 5\n: note\n\nid: 2\nextra: 7\ndata: b\n\n":  2,
		"id: 1\ndata: a\n\nHTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n":            1,
		"id: 1\ndata: a\n\nid: 2\ndata: bHTTP/1.1 503 Busy\r\nretry-after: 1\r\n\r\n": 1,
		"Data: a\n\n": 0,
	} {
		raw, events := sse.NewStrictRawReader(strings.NewReader(stream), "extra"), 0
		for _, err := raw.Next(); err == nil; _, err = raw.Next() {
			events++
		}
		assert.Equal(t, events, wantEvents, stream)
		parsed, events := sse.NewStrictReader(strings.NewReader(strings.ReplaceAll(stream, "extra", "event"))), 0
		for _, err := parsed.Next(); err == nil; _, err = parsed.Next() {
			events++
		}
		assert.Equal(t, events, wantEvents, stream)
	}
}
