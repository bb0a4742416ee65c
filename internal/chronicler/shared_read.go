package chronicler

import (
	"context"
	"sync"
)

// sharedRead sends a read on behalf of all who asked before it was sent. One is sent at a time.
type sharedRead[T any] struct {
	read func(ctx context.Context) (T, error)

	mu      sync.Mutex
	next    *readResult[T] // of a read that was not sent yet; nil if there is none
	sending chan struct{}  // holds a value while a read is sent
}

// readResult is the result of a read, once done is closed.
type readResult[T any] struct {
	done  chan struct{}
	value T
	err   error
}

func newSharedRead[T any](read func(ctx context.Context) (T, error)) *sharedRead[T] {
	return &sharedRead[T]{read: read, sending: make(chan struct{}, 1)}
}

// get returns the result of a read that is sent after the call.
func (s *sharedRead[T]) get(ctx context.Context) (value T, err error) {
	s.mu.Lock()
	result := s.next
	if result == nil {
		result = &readResult[T]{done: make(chan struct{})}
		s.next = result
		go s.send(result) //nolint:gosec // The read is for all who wait, so that it ends with none of them.
	}
	s.mu.Unlock()
	select {
	case <-result.done:
		return result.value, result.err
	case <-ctx.Done():
		return value, ctx.Err()
	}
}

// send sends a read, once the one before has ended.
func (s *sharedRead[T]) send(result *readResult[T]) {
	s.sending <- struct{}{}
	defer func() { <-s.sending }()
	s.mu.Lock()
	s.next = nil
	s.mu.Unlock()
	result.value, result.err = s.read(context.Background())
	close(result.done)
}
