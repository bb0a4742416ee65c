package answerer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

func TestEveryKindHasAnswerWithUniqueName(t *testing.T) {
	kindByName := map[string]answerer.Kind{}
	for _, kind := range answerer.Kinds() {
		answer := answerer.Lookup(kind)
		assert.Assert(t, answer.Name != "", "kind %d has no answer", int(kind))
		assert.Assert(t, answer.Status >= 400 && answer.Status < 600)
		assert.Equal(t, answer.Counter, "refusals."+answer.Name)
		other, duplicate := kindByName[answer.Name]
		assert.Assert(t, !duplicate, "%v and %v have the same name", other, kind)
		kindByName[answer.Name] = kind
	}
}

func TestFromErrorFindsWrappedErrorOrReturnsKindInternal(t *testing.T) {
	wrapped := fmt.Errorf("forward: %w", answerer.New(answerer.KindExpired, "Too late."))
	assert.Equal(t, answerer.FromError(wrapped).Kind, answerer.KindExpired)
	assert.Equal(t, answerer.FromError(fmt.Errorf("other")).Kind, answerer.KindInternal)
}

func ExampleError_WithRetryAfter() {
	refusal := answerer.New(answerer.KindQueueFull, "The queue is full.").WithRetryAfter(3 * time.Second)
	answer := answerer.Lookup(refusal.Kind)
	fmt.Println(refusal, answer.Status, answer.Outcome, refusal.RetryDelay())
	// Output: queue-full: The queue is full. 429 not-run 3s
}
