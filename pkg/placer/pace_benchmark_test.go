package placer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/placer"
	"github.com/oleanderpick/oleanderpick/pkg/registrar"
)

// BenchmarkPick measures a decision for a long prompt whose blocks can be copied, in a divided fleet
// of five data centres.
func BenchmarkPick(b *testing.B) {
	benchmarkPick(b, 0)
}

// BenchmarkPickByPace measures the same where endpoints state a pace.
func BenchmarkPickByPace(b *testing.B) {
	benchmarkPick(b, 100)
}

func benchmarkPick(b *testing.B, pace int) {
	b.Helper()
	for _, count := range []int{12, 112, 600} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			p := placer.New(placer.Settings{InstanceName: "i", DataCentre: "dc0"})
			endpoints := make([]registrar.Endpoint, 0, count)
			for i := range count {
				endpoints = append(endpoints, registrar.Endpoint{ID: fmt.Sprint("e", i), Service: "llm", Address: fmt.Sprint(i), DataCentre: fmt.Sprint("dc", i%5), Slots: 12})
			}
			p.Configure(endpoints)
			p.SetFleetDivided(true)
			request := placer.Request{
				Service: "llm", PromptTokens: 9000, CanCopyCache: true, TargetTimeToFirstToken: 600 * time.Millisecond,
				Blocks: []placer.PromptBlock{{ID: 1, Tokens: 6300}, {ID: 2, Tokens: 2700}},
			}
			now := time.Unix(1000, 0)
			for _, e := range endpoints {
				p.RecordStatement(now, e.ID, placer.Statement{Pace: pace})
			}
			for b.Loop() {
				now = now.Add(time.Millisecond)
				_, _ = p.Pick(now, request)
			}
		})
	}
}
