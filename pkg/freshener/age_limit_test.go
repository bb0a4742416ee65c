package freshener_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/freshener"
)

// Guards against data of any age being used while the platform can be read, and against none being
// used while it cannot.
func TestOldDataIsUsedOnlyIfThePlatformCannotBeRead(t *testing.T) {
	limit := freshener.AgeLimit{Max: 2 * time.Second}
	for _, test := range []struct {
		age          time.Duration
		isUnreadable bool
		want         bool
	}{
		{0, false, true}, {1999 * time.Millisecond, false, true}, {2 * time.Second, false, false}, {time.Hour, true, true},
		{-time.Second, false, false}, // The clock went back.
	} {
		assert.Equal(t, limit.Allows(test.age, test.isUnreadable), test.want, "%v", test)
	}
	assert.Assert(t, freshener.AgeLimit{}.Allows(time.Hour, false), "there is no limit")
}
