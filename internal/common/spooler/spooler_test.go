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

func TestLinesOverTheRateAreCounted(t *testing.T) {
	var written bytes.Buffer
	now := time.Unix(100, 0)
	s := spooler.New(spooler.Settings{Queue: 100, Rate: 3}, &written, func() time.Time { return now })
	for i := range 10 {
		_, _ = fmt.Fprintf(s, "{\"@level\":\"info\",\"n\":%d}\n", i)
	}
	_, _ = fmt.Fprintln(s, `{"@level":"error","n":"kept"}`)
	now = now.Add(time.Second)
	_, _ = fmt.Fprintln(s, `{"@level":"info","n":"next"}`)
	s.Close()
	lines := strings.Split(strings.TrimSpace(written.String()), "\n")
	assert.Equal(t, len(lines), 6, written.String())
	assert.Assert(t, strings.Contains(lines[3], "kept"))
	assert.Assert(t, strings.Contains(lines[4], `"lines":7`))
	assert.Assert(t, strings.Contains(lines[5], "next"))
}

// blocked never gets a line written.
type blocked struct{ until chan struct{} }

func (b blocked) Write(line []byte) (int, error) {
	<-b.until

	return len(line), nil
}

func TestBlockedOutputHoldsNobodyUp(t *testing.T) {
	output := blocked{make(chan struct{})}
	s := spooler.New(spooler.Settings{Queue: 5, Rate: 1000}, output, time.Now)
	for range 100 {
		_, err := fmt.Fprintln(s, "line")
		assert.NilError(t, err)
	}
	close(output.until)
	s.Close()
	_, err := fmt.Fprintln(s, "late")
	assert.NilError(t, err)
}
