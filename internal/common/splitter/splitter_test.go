package splitter_test

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oleanderpick/oleanderpick/internal/common/splitter"
)

// Guards against a listing that cannot be read because one of its entries is nested more deeply than
// a decoder allows, or has a number that is too large.
func TestElementsAreFoundBesideOddOnes(t *testing.T) {
	deep := strings.Repeat(`[{"a":`, 20000) + "1" + strings.Repeat("}]", 20000)
	elements, err := splitter.Elements([]byte(` [ {"a":1} , ` + deep + `,1e999, "x\"]" ,null,[] ] `))
	assert.NilError(t, err)
	assert.Equal(t, len(elements), 6)
	assert.Equal(t, string(elements[0]), `{"a":1}`)
	assert.Equal(t, string(elements[1]), deep)
	assert.Equal(t, string(elements[3]), `"x\"]"`)
	fields, err := splitter.Fields([]byte(`{"deep":` + deep + `,"b\u0061d" : true,"n":-1.5e3}`))
	assert.NilError(t, err)
	assert.Equal(t, string(fields["bad"]), "true")
	assert.Equal(t, string(fields["n"]), "-1.5e3")
}

func TestBrokenDataIsAnError(t *testing.T) {
	for _, text := range []string{"[", "[1", "[1,", "[1 2]", "[,]", "{}", `["`, `["\"`, "[1:2]", "x"} {
		_, err := splitter.Elements([]byte(text))
		assert.Assert(t, err != nil, text)
	}
	for _, text := range []string{"{", `{"a"}`, `{"a":}`, `{"a":1,}`, `{a:1}`, `{"a":1 "b":2}`, "[]", `{"a" 1}`} {
		_, err := splitter.Fields([]byte(text))
		assert.Assert(t, err != nil, text)
	}
	for _, text := range []string{"", " ", "null"} {
		elements, err := splitter.Elements([]byte(text))
		assert.Assert(t, err == nil && len(elements) == 0)
	}
}

// Guards against values that are split otherwise than the standard library decodes them.
func TestElementsAreThoseOfTheStandardLibrary(t *testing.T) {
	value := rapid.Custom(func(t *rapid.T) any { return drawValue(t, 3) })
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(value, 0, 6).Draw(t, "list")
		encoded, err := json.MarshalIndent(list, "", rapid.SampledFrom([]string{"", " ", "\t"}).Draw(t, "indent"))
		assert.NilError(t, err)
		var want []json.RawMessage
		assert.NilError(t, json.Unmarshal(encoded, &want))
		got, err := splitter.Elements(encoded)
		assert.NilError(t, err)
		assert.Equal(t, len(got), len(want))
		for i := range want {
			assert.Equal(t, string(got[i]), string(want[i]))
		}
	})
}

func drawValue(t *rapid.T, depth int) any {
	kind := rapid.IntRange(0, 5).Draw(t, "kind")
	if depth == 0 {
		kind %= 4
	}
	switch kind {
	case 0:
		return rapid.String().Draw(t, "string")
	case 1:
		return rapid.Float64Range(-1e300, 1e300).Draw(t, "number")
	case 2:
		return rapid.Bool().Draw(t, "bool")
	case 3:
		return nil
	case 4:
		return []any{drawValue(t, depth-1), drawValue(t, depth-1)}
	}

	return map[string]any{rapid.String().Draw(t, "key"): drawValue(t, depth-1)}
}
