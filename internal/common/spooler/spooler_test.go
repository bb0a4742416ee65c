package spooler_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/common/spooler"
)

func TestLinesOverTheRateLimitAreDroppedAndCounted(t *testing.T) {
	var output bytes.Buffer
	now := time.Unix(100, 0)
	s := spooler.New(spooler.Settings{MaxQueuedLines: 100, MaxLinesPerSecond: 3}, &output, func() time.Time { return now })
	for i := range 10 {
		_, _ = fmt.Fprintf(s, "{\"@level\":\"info\",\"n\":%d}\n", i)
	}
	_, _ = fmt.Fprintln(s, `{"@level":"error","n":"kept"}`)
	now = now.Add(time.Second)
	_, _ = fmt.Fprintln(s, `{"@level":"info","n":"next"}`)
	s.Close()
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	assert.Equal(t, len(lines), 6, output.String())
	assert.Assert(t, strings.Contains(lines[3], "kept"))
	assert.Assert(t, strings.Contains(lines[4], `"lines":7`))
	assert.Assert(t, strings.Contains(lines[5], "next"))
}

// blockedWriter blocks each write until its channel is closed.
type blockedWriter struct{ unblock chan struct{} }

func (b blockedWriter) Write(line []byte) (int, error) {
	<-b.unblock

	return len(line), nil
}

func TestWriteDoesNotBlockWhenOutputBlocks(t *testing.T) {
	output := blockedWriter{make(chan struct{})}
	s := spooler.New(spooler.Settings{MaxQueuedLines: 5, MaxLinesPerSecond: 1000}, output, time.Now)
	for range 100 {
		_, err := fmt.Fprintln(s, "line")
		assert.NilError(t, err)
	}
	close(output.unblock)
	s.Close()
	_, err := fmt.Fprintln(s, "late")
	assert.NilError(t, err)
}
