package sharer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderpick/oleanderpick/pkg/sharer"
)

// BenchmarkAdmit measures a decision while capacity is short, 5 ms after the one before, with claims of 14 peers.
func BenchmarkAdmit(b *testing.B) {
	for _, workspaces := range []int{24, 1000, 48000} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			s, now := sharer.New(sharer.Settings{}), time.Unix(1_000_000, 0)
			room := sharer.Room{Expected: 400 * time.Millisecond, Prefill: 20 * time.Millisecond}
			for i := 0; b.Loop(); i++ {
				now = now.Add(5 * time.Millisecond)
				work := sharer.Work{ID: fmt.Sprint(i), Service: "s", Workspace: fmt.Sprint(i * 7919 % workspaces), Tokens: 1000, Target: 600 * time.Millisecond, TimeLeft: 5 * time.Second}
				if i%50 == 0 {
					s.ReceiveClaims(now, fmt.Sprint(i/50%14), s.Claims(now))
				}
				s.Want(now, work)
				if s.Admit(now, work, room).Admitted {
					s.Start(now, work)
				}
			}
		})
	}
}
