package relayer

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

const (
	// maxMemoryWait is how long a body may wait for memory, but no longer than the request's remaining time
	// divided by memoryWaitDivisor.
	maxMemoryWait     = 500 * time.Millisecond
	memoryWaitDivisor = 4
)

// readBody reads the whole body into memory, so that it can be sent again. It stops
// waiting for the caller at the request's deadline.
func (r *relayedRequest) readBody() *answerer.Error {
	maxBytes := r.matcher.Limits().MaxBodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	controller := http.NewResponseController(r.w)
	if err := controller.SetReadDeadline(r.deadline); err != nil {
		return answerer.Wrap(answerer.KindInternal, "The connection does not support a read deadline.", err)
	}
	body, err := r.collectBody(http.MaxBytesReader(r.w, r.incoming.Body, maxBytes), int(maxBytes))
	if err == nil {
		err = controller.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return answerer.New(answerer.KindTooLarge, "The body is too large.")
	case errors.Is(err, errNoMemory):
		return answerer.Wrap(answerer.KindNoMemory, "There is no memory for the body.", err).WithRetryAfter(capacityRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return answerer.Wrap(answerer.KindSlowBody, "The body did not arrive in time.", err)
	case err != nil:
		return answerer.Wrap(answerer.KindMalformed, "The body cannot be read.", err)
	}
	r.body = body

	return nil
}

// errNoMemory is the cause of a body that was not read since others hold the memory.
var errNoMemory = errors.New("no memory within the time to wait for it")

// collectBody reads a body of at most maxBytes. Memory is claimed before it is used: for a body without a
// length as much as it may need, so that requests do not wait for each other's memory.
func (r *relayedRequest) collectBody(source io.Reader, maxBytes int) ([]byte, error) {
	length := int(r.incoming.ContentLength)
	switch {
	case length == 0:
		return nil, nil
	case length > maxBytes:
		return nil, &http.MaxBytesError{Limit: int64(maxBytes)}
	case length > 0:
		if err := r.awaitMemory(length); err != nil {
			return nil, err
		}
		body := make([]byte, length)
		_, err := io.ReadFull(source, body)

		return body, err
	}
	if err := r.awaitMemory(min(smallBytes, maxBytes)); err != nil {
		return nil, err
	}
	beginning, err := io.ReadAll(io.LimitReader(source, smallBytes))
	if err != nil || len(beginning) < smallBytes {
		r.memory.giveBack(min(smallBytes, maxBytes) - len(beginning))

		return beginning, err
	}
	if err := r.awaitMemory(maxBytes); err != nil {
		return nil, err
	}
	rest, err := io.ReadAll(source)
	r.memory.giveBack(maxBytes - len(rest))

	return append(beginning, rest...), err
}

// awaitMemory claims memory for the body. It waits for a part of the time that the request has left.
func (r *relayedRequest) awaitMemory(bytes int) error {
	if r.memory.try(bytes) {
		return nil
	}
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(r.incoming.Context(), min(maxMemoryWait, time.Until(r.deadline)/memoryWaitDivisor))
	defer cancel()
	heldBytes, waiting := r.memory.usage()
	err := r.memory.await(ctx, bytes)
	r.relayer.meter.Add("memory.waits", 1)
	r.relayer.logger.Info("Body waited for memory.", "request", r.metadata.ID, "route", r.route.Name, "bytes", bytes, "held by all", heldBytes, "waiting before", waiting,
		"ms", time.Since(startedAt).Milliseconds(), "granted", err == nil)
	if err != nil {
		return errNoMemory
	}

	return nil
}
