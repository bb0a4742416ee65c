package declarer_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

// FuzzDecode checks that a decoded value, encoded and decoded again, stays the same,
// and that Decode returns either a value or problems.
func FuzzDecode(f *testing.F) {
	for _, tc := range decodeCases {
		f.Add(tc.kind, tc.spec)
	}
	f.Fuzz(func(t *testing.T, kind, spec string) {
		value, problems := declarer.Decode(declarer.Resource{Kind: kind, Name: "x", Spec: json.RawMessage(spec)})
		assert.Equal(t, value == nil, len(problems) > 0)
		if value == nil {
			return
		}
		encoded, err := json.Marshal(value)
		assert.NilError(t, err)
		decodedAgain, problems := declarer.Decode(declarer.Resource{Kind: kind, Name: "x", Spec: encoded})
		assert.Equal(t, len(problems), 0, "%s: %v", encoded, problems)
		encodedAgain, err := json.Marshal(decodedAgain)
		assert.NilError(t, err)
		assert.Equal(t, string(encodedAgain), string(encoded))
	})
}
