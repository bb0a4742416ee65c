package storer

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// WithHedgedReads returns a copy of the client that sends a read (Get or List) again on a new
// connection if no answer has come after the given time, and once more after as long again. The
// first answer counts; the read that waits is not given up for the others.
func (c *Client) WithHedgedReads(delay time.Duration) *Client {
	clone := *c
	clone.hedgeDelay = delay

	return &clone
}

// errAnswered is the cause of a read that is given up because another one has its answer.
var errAnswered = errors.New("another read has the answer")

// maxHedges is the number of times that a read is sent again while it has no answer.
const maxHedges = 2

// exchangeHedged is exchange, and for reads sends the call again while no answer comes. It returns
// the first answer, or the last error if none comes.
func (c *Client) exchangeHedged(ctx context.Context, call Call, message HTTPRequest) (answer, error) {
	if c.hedgeDelay <= 0 || (call.Verb != Get && call.Verb != List) {
		return c.exchange(ctx, call, message)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(errAnswered)
	type result struct {
		answer answer
		err    error
	}
	results := make(chan result, 1+maxHedges)
	send := func() {
		received, err := c.exchange(ctx, call, message)
		results <- result{received, err}
	}
	go send()
	timer := time.NewTimer(c.hedgeDelay)
	defer timer.Stop()
	for sent, ended := 1, 0; ; {
		select {
		case r := <-results:
			if ended++; r.err == nil || ended == sent {
				return r.answer, r.err
			}
		case <-timer.C:
			if sent <= maxHedges {
				sent++
				c.httpClient.CloseIdleConnections() // They may be as silent as the first one's.
				go send()
				timer.Reset(c.hedgeDelay)
			}
		}
	}
}
