package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run. It is safe for concurrent use.
type record struct {
	startedAt time.Time

	mu   sync.Mutex
	file *os.File
}

// newRecord replaces the file at a path.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path) //nolint:gosec // The caller names the file.
	if err != nil {
		return nil, err
	}

	return &record{startedAt: time.Now(), file: file}, nil
}

// printf writes a line to the file and to the standard output.
func (r *record) printf(format string, arguments ...any) {
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.startedAt).Seconds()) + fmt.Sprintf(format, arguments...)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

// close closes the file.
func (r *record) close() {
	_ = r.file.Close()
}
