package gossiper

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/oleanderpick/oleanderpick/internal/dispatcher"
	"github.com/oleanderpick/oleanderpick/internal/gossiper/gossipwire"
	"github.com/oleanderpick/oleanderpick/internal/meter"
	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
	"github.com/oleanderpick/oleanderpick/pkg/sharer"
)

// Guards against claims where the feature is off, and against more of them than are paid for.
func TestClaimsAreSentOnlyWithTheFeatureAndSeldom(t *testing.T) {
	for _, features := range []dispatcher.Features{{}, {SharesCapacity: true}} {
		clock := dispatcher.Clock{Now: time.Now, SinceBoot: func() time.Duration { return time.Hour }}
		d := dispatcher.New(dispatcher.Settings{Name: "a", Features: features}, clock, hclog.NewNullLogger())
		d.ApplyListing(time.Hour, 0, []registrar.Endpoint{{ID: "e", Service: "llm", Address: "e:80", Slots: 16}})
		for i := range 20 {
			request := placer.Request{ID: fmt.Sprint(i), Service: "llm", PromptTokens: 9000, Workspace: "w", TargetTimeToFirstToken: time.Second}
			_, _ = d.Place(t.Context(), request, true)
		}
		g := New(DefaultSettings(), d, nil, nil, meter.New(), hclog.NewNullLogger())
		assert.Equal(t, len(g.buildMessage("b:80", allKnown, true).GetClaims()) > 0, features.SharesCapacity)
		assert.Equal(t, len(g.buildMessage("c:80", allKnown, true).GetClaims()), 0)
	}
}

// Guards against a peer's impossible figures in the shares, and claims that no longer fit in datagrams.
func TestClaimsAreCheckedAndSmall(t *testing.T) {
	claims := make([]sharer.Claim, 0, 18)
	for i := range 18 { // 16 named ones, and the rest of two tiers
		claims = append(claims, sharer.Claim{Service: "desk-model", Tier: i % 2, Workspace: fmt.Sprintf("workspace-%d", i), Wanted: 30000, Served: 25000})
	}
	encoded := encodeClaims(claims)
	assert.DeepEqual(t, decodeClaims(encoded), claims)
	size := proto.Size(&gossipwire.Message{Claims: encoded})
	t.Logf("%d claims take %d bytes", len(claims), size)
	assert.Assert(t, size < 800)
	for _, wanted := range []float32{float32(math.NaN()), float32(math.Inf(1)), -1} {
		assert.Equal(t, len(decodeClaims([]*gossipwire.Claim{{Wanted: wanted}, {Tier: 77}})), 0)
	}
}
