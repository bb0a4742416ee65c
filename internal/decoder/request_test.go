package decoder_test

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/decoder"
	"github.com/oleanderpick/oleanderpick/pkg/answerer"
)

func TestDecodeChatReturnsRequestOrMalformedError(t *testing.T) {
	tests := []struct {
		name, body, wantError string
		wantMaxAnswerTokens   int
	}{
		{"plain", `{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":7}`, "", 7},
		{"newer limit", `{"model":"m","messages":[{"role":"user","content":"hi"}],"max_completion_tokens":9}`, "", 9},
		{"parts", `{"model":"m","messages":[{"role":"user","content":[{"type":"text"}]}]}`, "", 0},
		{"broken", `{"model":`, "not a JSON request", 0},
		{"no model", `{"messages":[{"role":"user","content":"hi"}]}`, "field model", 0},
		{"no messages", `{"model":"m"}`, "field messages", 0},
		{"bad limit", `{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":0}`, "1 or more", 0},
		{"array", `[]`, "not a JSON request", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			request, err := decoder.DecodeChat([]byte(test.body))
			if test.wantError != "" {
				assert.ErrorContains(t, err, test.wantError)
				assert.Equal(t, answerer.FromError(err).Kind, answerer.KindMalformed)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, request.MaxAnswerTokens, test.wantMaxAnswerTokens)
			assert.Assert(t, strings.Contains(string(request.Body), `"stream":true`))
		})
	}
}

func TestPromptsWithSameStartShareFirstPrefixHashes(t *testing.T) {
	shared := strings.Repeat("a", 4*decoder.PrefixBlockBytes)
	first := decoder.PrefixHashes([]byte(shared + strings.Repeat("b", decoder.PrefixBlockBytes)))
	second := decoder.PrefixHashes([]byte(shared + strings.Repeat("c", decoder.PrefixBlockBytes)))
	assert.DeepEqual(t, first[:4], second[:4])
	assert.Assert(t, first[4] != second[4])
	assert.Assert(t, len(decoder.PrefixHashes(make([]byte, 1<<20))) <= decoder.MaxPrefixHashes)
}

func FuzzDecodeReturnsValidRequestOrMalformedError(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":7}`))
	f.Add([]byte(`{"model":"m","prompt":["a"],"stream":true}`))
	f.Add([]byte(`{"model":"m","prompt":"\ud800","max_tokens":1e99}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, decode := range []func([]byte) (decoder.Request, error){decoder.DecodeChat, decoder.DecodeCompletion} {
			request, err := decode(body)
			if err != nil {
				assert.Equal(t, answerer.FromError(err).Kind, answerer.KindMalformed)
				continue
			}
			assert.Assert(t, json.Valid(request.Body))
			assert.Assert(t, request.MaxAnswerTokens >= 0)
		}
	})
}
