package loader

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestParseRequestMixReadsWeightsAndRefusesInvalidText(t *testing.T) {
	mix, err := ParseRequestMix("booking=0.5,chat=2")
	assert.NilError(t, err)
	assert.Equal(t, len(mix.Classes), 2)
	assert.Equal(t, mix.Classes[0].RequestType, Booking)
	assert.Equal(t, mix.Classes[0].Weight, 0.5)
	assert.Equal(t, mix.Classes[1].Name, "chat")
	assert.Equal(t, mix.Classes[1].MedianAnswerTokens, StandardRequestMix().Classes[0].MedianAnswerTokens)
	assert.Equal(t, mix.Classes[1].Weight, 2.0)

	for text, want := range map[string]string{
		"":              `class "": its share is not a number above 0`,
		"chat":          `class "chat": its share is not a number above 0`,
		"chat=-1":       `class "chat": its share is not a number above 0`,
		"chat=NaN":      `class "chat": its share is not a number above 0`,
		"talk=1":        `no class "talk"`,
		"chat=1,chat=1": `class "chat" is named twice`,
	} {
		_, err := ParseRequestMix(text)
		assert.Error(t, err, want)
	}
}

func TestPrintMarksRunWithLateSendsAsNoMeasurement(t *testing.T) {
	report := Report{LongestSendDelay: MaxSendDelay, Classes: []ClassSummary{{
		ClassName: "chat", Sent: 4, Complete: 3, WithinTargets: 2, GoodputTokens: 70, RefusedByKind: map[string]int{"full": 1, "expired": 2},
	}}}
	var text strings.Builder
	report.Print(&text)
	for _, want := range []string{"50.0%", "expired 2, full 1", "none", "sent late by at most 50ms"} {
		assert.Assert(t, strings.Contains(text.String(), want), text.String())
	}
	assert.Assert(t, !strings.Contains(text.String(), "no measurement"))

	report.LongestSendDelay = MaxSendDelay + time.Millisecond
	report.Print(&text)
	assert.Assert(t, strings.Contains(text.String(), "no measurement"))
}
