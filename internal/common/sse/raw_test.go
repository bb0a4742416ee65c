package sse_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/common/sse"
)

func TestRawEventsComeAsTheyAre(t *testing.T) {
	long := "data: " + strings.Repeat("x", 10_000) + "\n\n"
	for name, test := range map[string]struct {
		stream  string
		numbers []int64
		end     error
	}{
		"numbered":      {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []int64{1, 2}, io.EOF},
		"extra lines":   {"weight-versions: 3\r\nid:7\r\ndata: a\r\n\r\n", []int64{7}, io.EOF},
		"not numbered":  {"data: a\n\n: note\n\n", []int64{-1, -1}, io.EOF},
		"torn":          {"id: 1\ndata: a\n\nid: 2\nda", []int64{1}, io.ErrUnexpectedEOF},
		"torn between":  {"id: 1\ndata: a\n", nil, io.ErrUnexpectedEOF},
		"not a number":  {"id: x\n\n", nil, sse.ErrMalformed},
		"longer events": {"id: 1\n" + long, []int64{1}, io.EOF},
		"too long":      {strings.Repeat("data: "+strings.Repeat("x", 10_000), 8), nil, sse.ErrMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			reader := sse.NewRawReader(iotest.OneByteReader(strings.NewReader(test.stream)))
			passed := ""
			var numbers []int64
			for {
				event, err := reader.Next()
				if err != nil {
					assert.ErrorIs(t, err, test.end)

					break
				}
				numbers = append(numbers, event.ID)
				passed += string(event.Bytes)
			}
			assert.DeepEqual(t, numbers, test.numbers)
			assert.Assert(t, strings.HasPrefix(test.stream, passed))
		})
	}
}
