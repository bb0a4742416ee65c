// Package spooler writes log lines without blocking the goroutines that log.
//
// Lines wait in a bounded queue for one goroutine that writes them. A line is dropped
// if the queue is full. It is also dropped if the rate limit is reached, unless it is a
// warning or an error. The number of dropped lines is logged in a line of its own.
package spooler

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// Settings holds the limits of a Spooler.
type Settings struct {
	// MaxQueuedLines is the maximum number of lines that wait to be written.
	MaxQueuedLines int
	// MaxLinesPerSecond is the number of lines in a second after which only warnings
	// and errors are accepted.
	MaxLinesPerSecond int
}

// DefaultSettings returns limits that keep the log of a busy instance below about
// 100 KB per second.
func DefaultSettings() Settings {
	return Settings{MaxQueuedLines: 1024, MaxLinesPerSecond: 300}
}

// unlimitedLevels are the level fields, as hclog writes them, of the lines that the rate
// limit does not drop.
var unlimitedLevels = [][]byte{[]byte(`"@level":"warn"`), []byte(`"@level":"error"`)}

// Spooler is an io.Writer that takes one whole line at each call. It is safe for
// concurrent use.
type Spooler struct {
	settings Settings
	output   io.Writer
	now      func() time.Time
	queue    chan []byte
	done     chan struct{}

	mu     sync.Mutex
	closed bool
	// currentSecond is the Unix time for which linesThisSecond counts accepted lines.
	currentSecond   int64
	linesThisSecond int
	// droppedLines is the number of dropped lines that were not logged yet.
	droppedLines int
}

// New returns a Spooler that writes to output, and starts its goroutine.
func New(settings Settings, output io.Writer, now func() time.Time) *Spooler {
	s := &Spooler{
		settings: settings, output: output, now: now,
		queue: make(chan []byte, settings.MaxQueuedLines), done: make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		for line := range s.queue {
			// There is nowhere to log a failed write of the log itself.
			_, _ = s.output.Write(line)
		}
	}()

	return s
}

// Write queues or drops a line. It never blocks and never returns an error.
func (s *Spooler) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return len(line), nil
	}
	now := s.now()
	if second := now.Unix(); second != s.currentSecond {
		s.logDroppedLines(now)
		s.currentSecond, s.linesThisSecond = second, 0
	}
	if s.linesThisSecond >= s.settings.MaxLinesPerSecond && !isWarningOrError(line) {
		s.droppedLines++

		return len(line), nil
	}
	s.linesThisSecond++
	s.enqueue(bytes.Clone(line))

	return len(line), nil
}

func isWarningOrError(line []byte) bool {
	for _, level := range unlimitedLevels {
		if bytes.Contains(line, level) {
			return true
		}
	}

	return false
}

// logDroppedLines queues a line with the number of dropped lines, if there are any, and
// resets it.
func (s *Spooler) logDroppedLines(now time.Time) {
	if s.droppedLines == 0 {
		return
	}
	droppedLines := s.droppedLines
	s.droppedLines = 0
	s.enqueue(fmt.Appendf(nil, `{"@level":"warn","@message":"Log lines were left out.","@module":"oleanderpick.spooler","@timestamp":%q,"lines":%d}`+"\n",
		now.UTC().Format("2006-01-02T15:04:05.000000Z"), droppedLines))
}

// enqueue queues a line, or drops it if the queue is full.
func (s *Spooler) enqueue(line []byte) {
	select {
	case s.queue <- line:
	default:
		s.droppedLines++
	}
}

// Close waits until the queued lines are written. Later lines are dropped without
// being counted.
func (s *Spooler) Close() {
	s.mu.Lock()
	if !s.closed {
		s.logDroppedLines(s.now())
		s.closed = true
		close(s.queue)
	}
	s.mu.Unlock()
	<-s.done
}
