package exchanger

import (
	"time"

	"github.com/oleanderpick/oleanderpick/internal/controller"
	"github.com/oleanderpick/oleanderpick/internal/exchanger/peerwire"
	"github.com/oleanderpick/oleanderpick/pkg/balancer"
	"github.com/oleanderpick/oleanderpick/pkg/granter"
	"github.com/oleanderpick/oleanderpick/pkg/quarantiner"
	"github.com/oleanderpick/oleanderpick/pkg/tracker"
)

// copied is the base of times that a home only copies back.
var copied = time.Unix(0, 0)

// Each pair of functions below turns a value of pkg/ into its message and
// back.

// each turns every element of a slice.
func each[From, To any](values []From, turn func(From) To) []To {
	turned := make([]To, 0, len(values))
	for _, value := range values {
		turned = append(turned, turn(value))
	}

	return turned
}

func encodeCredit(credit granter.Credit) *peerwire.Credit {
	return &peerwire.Credit{Slots: uint32(max(0, credit.Slots)), Tokens: uint32(max(0, credit.Tokens))}
}

func decodeCredit(credit *peerwire.Credit) granter.Credit {
	return granter.Credit{Slots: int(credit.GetSlots()), Tokens: int(credit.GetTokens())}
}

// A want's Asked passes as the time since base, which the borrower keeps to
// itself; the home's base is copied, since it only returns what it got.
func encodeWant(base time.Time) func(granter.CreditRequest) *peerwire.Want {
	return func(want granter.CreditRequest) *peerwire.Want {
		return wantMessage(base, want)
	}
}

func wantMessage(base time.Time, want granter.CreditRequest) *peerwire.Want {
	waiting := want.Waiting[:]
	for len(waiting) > 0 && waiting[len(waiting)-1] == (granter.Credit{}) {
		waiting = waiting[:len(waiting)-1]
	}

	return &peerwire.Want{
		Endpoint: want.Endpoint,
		Held:     encodeCredit(want.InUse),
		Waiting:  each(waiting, encodeCredit),
		Credit:   encodeCredit(want.UnexpiredCredit),
		Epoch:    want.GrantEpoch,
		Asked:    int64(want.RequestedAt.Sub(base)),
	}
}

func decodeWant(message *peerwire.Want) granter.CreditRequest {
	want := granter.CreditRequest{
		Endpoint:        message.GetEndpoint(),
		InUse:           decodeCredit(message.GetHeld()),
		UnexpiredCredit: decodeCredit(message.GetCredit()),
		GrantEpoch:      message.GetEpoch(),
		RequestedAt:     copied.Add(time.Duration(message.GetAsked())),
	}
	for tier, credit := range message.GetWaiting() {
		if tier < granter.Tiers {
			want.Waiting[tier] = decodeCredit(credit)
		}
	}

	return want
}

func encodeGrant(grant granter.Grant) *peerwire.Grant {
	return &peerwire.Grant{
		Endpoint:   grant.Endpoint,
		Credit:     encodeCredit(grant.Credit),
		LifetimeMs: uint32(grant.TTL.Milliseconds()),
		Epoch:      grant.Epoch,
		Asked:      int64(grant.RequestedAt.Sub(copied)),
	}
}

func decodeGrant(base time.Time) func(*peerwire.Grant) granter.Grant {
	return func(message *peerwire.Grant) granter.Grant {
		return granter.Grant{
			Endpoint:    message.GetEndpoint(),
			Credit:      decodeCredit(message.GetCredit()),
			TTL:         milliseconds(message.GetLifetimeMs()),
			Epoch:       message.GetEpoch(),
			RequestedAt: base.Add(time.Duration(message.GetAsked())),
		}
	}
}

func milliseconds[Count uint32 | uint64](count Count) time.Duration {
	return time.Duration(count) * time.Millisecond
}

// age returns a time's age in milliseconds, at least 1, or 0 for no time.
func age(now, then time.Time) uint32 {
	if then.IsZero() {
		return 0
	}

	return uint32(max(1, now.Sub(then).Milliseconds()))
}

// transit is more than a message takes. A time that came as an age is put that
// much earlier, so that it never moves on as it goes from peer to peer and back.
const transit = 30 * time.Millisecond

func before(now time.Time, ageMs uint32) time.Time {
	if ageMs == 0 {
		return time.Time{}
	}

	return now.Add(-milliseconds(ageMs) - transit)
}

func encodeSuspect(now time.Time) func(quarantiner.Entry) *peerwire.Suspect {
	return func(entry quarantiner.Entry) *peerwire.Suspect {
		return &peerwire.Suspect{
			Fingerprint: entry.Fingerprint,
			Crashes: each(entry.Crashes, func(crash quarantiner.Crash) *peerwire.Crash {
				return &peerwire.Crash{Name: crash.EndpointID, AgeMs: age(now, crash.At)}
			}),
			Sure:         entry.SoleCause,
			TriedAgeMs:   age(now, entry.LastTrialAt),
			ClearedAgeMs: age(now, entry.LastClearedAt),
			AskedAgeMs:   age(now, entry.LastRefusedAt),
		}
	}
}

func decodeSuspect(now time.Time) func(*peerwire.Suspect) quarantiner.Entry {
	return func(message *peerwire.Suspect) quarantiner.Entry {
		return quarantiner.Entry{
			Fingerprint: message.GetFingerprint(),
			Crashes: each(message.GetCrashes(), func(crash *peerwire.Crash) quarantiner.Crash {
				return quarantiner.Crash{EndpointID: crash.GetName(), At: before(now, crash.GetAgeMs())}
			}),
			SoleCause:     message.GetSure(),
			LastTrialAt:   before(now, message.GetTriedAgeMs()),
			LastClearedAt: before(now, message.GetClearedAgeMs()),
			LastRefusedAt: before(now, message.GetAskedAgeMs()),
		}
	}
}

func encodeSighting(sighting tracker.LivenessReport) *peerwire.Sighting {
	return &peerwire.Sighting{
		Name:        sighting.Name,
		Incarnation: sighting.Incarnation,
		AgeMs:       uint64(max(0, sighting.Age.Milliseconds())),
		Leaving:     sighting.Leaving,
	}
}

func decodeSighting(message *peerwire.Sighting) tracker.LivenessReport {
	return tracker.LivenessReport{
		Name:        message.GetName(),
		Incarnation: message.GetIncarnation(),
		Age:         milliseconds(message.GetAgeMs()),
		Leaving:     message.GetLeaving(),
	}
}

func encodeReport(now time.Time) func(controller.EndpointLoadReport) *peerwire.Load {
	return func(report controller.EndpointLoadReport) *peerwire.Load {
		return &peerwire.Load{
			Endpoint: report.Endpoint,
			AgeMs:    age(now, report.Load.MeasuredAt),
			Running:  uint32(report.Load.Running),
			Waiting:  uint32(report.Load.Waiting),
			Tokens:   uint32(report.Load.UsedTokens),
			Capacity: uint32(report.Load.TokenCapacity),
			Slots:    uint32(report.Load.Slots),
			Rate:     float32(report.Load.TokensPerSecond),
			Draining: report.Load.Draining,
		}
	}
}

func decodeReport(now time.Time) func(*peerwire.Load) controller.EndpointLoadReport {
	return func(message *peerwire.Load) controller.EndpointLoadReport {
		return controller.EndpointLoadReport{
			Endpoint: message.GetEndpoint(),
			Load: balancer.LoadReport{
				MeasuredAt:      before(now, message.GetAgeMs()),
				Running:         int(message.GetRunning()),
				Waiting:         int(message.GetWaiting()),
				UsedTokens:      int(message.GetTokens()),
				TokenCapacity:   int(message.GetCapacity()),
				Slots:           int(message.GetSlots()),
				TokensPerSecond: float64(message.GetRate()),
				Draining:        message.GetDraining(),
			},
		}
	}
}
