// Package spooler writes log lines without holding up those who log.
//
// Lines wait in a bounded queue for one goroutine that writes them. A line that
// finds the queue full is left out, and so is one over the rate, unless it is a
// warning or an error. What was left out is counted and said in a line of its
// own.
package spooler

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// Settings are a spooler's limits.
type Settings struct {
	// Queue is the most lines that wait.
	Queue int
	// Rate is the most lines of no special importance in a second.
	Rate int
}

// DefaultSettings keep a busy instance's log under about 100 KB a second.
func DefaultSettings() Settings {
	return Settings{Queue: 1024, Rate: 300}
}

// important marks the lines that the rate does not apply to, as hclog writes
// them.
var important = [][]byte{[]byte(`"@level":"warn"`), []byte(`"@level":"error"`)}

// Spooler is an io.Writer of whole lines. It is safe for concurrent use.
type Spooler struct {
	settings Settings
	output   io.Writer
	now      func() time.Time
	lines    chan []byte
	done     chan struct{}

	mu      sync.Mutex
	closed  bool
	second  int64
	written int
	left    int
}

// New returns a spooler in front of output, and starts its goroutine.
func New(settings Settings, output io.Writer, now func() time.Time) *Spooler {
	s := &Spooler{
		settings: settings, output: output, now: now,
		lines: make(chan []byte, settings.Queue), done: make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		for line := range s.lines {
			// A log that cannot be written has nowhere to say so.
			_, _ = s.output.Write(line)
		}
	}()

	return s
}

// Write takes a line, or leaves it out. It never waits and never fails.
func (s *Spooler) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return len(line), nil
	}
	now := s.now()
	if second := now.Unix(); second != s.second {
		s.tell(now)
		s.second, s.written = second, 0
	}
	if s.written >= s.settings.Rate && !isImportant(line) {
		s.left++

		return len(line), nil
	}
	s.written++
	s.put(bytes.Clone(line))

	return len(line), nil
}

func isImportant(line []byte) bool {
	for _, mark := range important {
		if bytes.Contains(line, mark) {
			return true
		}
	}

	return false
}

// tell says how many lines were left out.
func (s *Spooler) tell(now time.Time) {
	if s.left == 0 {
		return
	}
	left := s.left
	s.left = 0
	s.put(fmt.Appendf(nil, `{"@level":"warn","@message":"Log lines were left out.","@module":"oleanderpick.spooler","@timestamp":%q,"lines":%d}`+"\n",
		now.UTC().Format("2006-01-02T15:04:05.000000Z"), left))
}

func (s *Spooler) put(line []byte) {
	select {
	case s.lines <- line:
	default:
		s.left++
	}
}

// Close writes what waits. Later lines are left out.
func (s *Spooler) Close() {
	s.mu.Lock()
	if !s.closed {
		s.tell(s.now())
		s.closed = true
		close(s.lines)
	}
	s.mu.Unlock()
	<-s.done
}
