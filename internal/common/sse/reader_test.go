package sse_test

import (
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/common/sse"
)

func TestReaderReturnsDataOfEventsAndFinalError(t *testing.T) {
	tests := []struct {
		name, stream string
		wantData     []string
		wantErr      error
	}{
		{"two events", "id: 0\ndata: a\n\nid: 1\ndata: b\n\n", []string{"a", "b"}, io.EOF},
		{"comment and blank", ": hello\n\n\nid:2\r\ndata:c\r\n\r\n", []string{"", "c"}, io.EOF},
		{"cut in event", "id: 0\ndata: a\n", nil, io.ErrUnexpectedEOF},
		{"cut in line", "id: 0\nda", nil, io.ErrUnexpectedEOF},
		{"id is not a number", "id: x\n\n", nil, sse.ErrMalformed},
		{"line too long", "data: " + strings.Repeat("x", sse.MaxLineBytes) + "\n\n", nil, sse.ErrMalformed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reader := sse.NewReader(strings.NewReader(test.stream))
			var data []string
			for {
				event, err := reader.Next()
				if err != nil {
					assert.ErrorIs(t, err, test.wantErr)
					break
				}
				data = append(data, string(event.Data))
			}
			assert.DeepEqual(t, data, test.wantData)
		})
	}
}
