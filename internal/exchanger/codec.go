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

// homeClockBase stands for the borrower's clockBase while a home decodes the time of
// a credit request and encodes it in the grant. The home doesn't know the borrower's
// clockBase; with any fixed base the borrower gets the same offset back.
var homeClockBase = time.Unix(0, 0)

// The functions below convert values of pkg/ and of the controller to their wire
// form and back.

// convertAll converts each element of a slice. The result is never nil.
func convertAll[From, To any](values []From, convert func(From) To) []To {
	converted := make([]To, 0, len(values))
	for _, value := range values {
		converted = append(converted, convert(value))
	}

	return converted
}

func encodeCredit(credit granter.Credit) *peerwire.Credit {
	return &peerwire.Credit{Slots: uint32(max(0, credit.Slots)), Tokens: uint32(max(0, credit.Tokens))}
}

func decodeCredit(credit *peerwire.Credit) granter.Credit {
	return granter.Credit{Slots: int(credit.GetSlots()), Tokens: int(credit.GetTokens())}
}

// creditRequestEncoder returns a function that encodes a borrower's credit requests.
// RequestedAt becomes an offset from base, which the home does not know; it returns
// the offset in the grant unchanged.
func creditRequestEncoder(base time.Time) func(granter.CreditRequest) *peerwire.Want {
	return func(request granter.CreditRequest) *peerwire.Want {
		return encodeCreditRequest(base, request)
	}
}

// encodeCreditRequest returns the wire form of a credit request. It omits trailing
// tiers without waiting requests.
func encodeCreditRequest(base time.Time, request granter.CreditRequest) *peerwire.Want {
	waiting := request.Waiting[:]
	for len(waiting) > 0 && waiting[len(waiting)-1] == (granter.Credit{}) {
		waiting = waiting[:len(waiting)-1]
	}

	return &peerwire.Want{
		Endpoint: request.Endpoint,
		Held:     encodeCredit(request.InUse),
		Waiting:  convertAll(waiting, encodeCredit),
		Credit:   encodeCredit(request.UnexpiredCredit),
		Epoch:    request.GrantEpoch,
		Asked:    int64(request.RequestedAt.Sub(base)),
	}
}

// decodeCreditRequest decodes a credit request at the home. Tiers that this version
// does not have are ignored.
func decodeCreditRequest(message *peerwire.Want) granter.CreditRequest {
	request := granter.CreditRequest{
		Endpoint:        message.GetEndpoint(),
		InUse:           decodeCredit(message.GetHeld()),
		UnexpiredCredit: decodeCredit(message.GetCredit()),
		GrantEpoch:      message.GetEpoch(),
		RequestedAt:     homeClockBase.Add(time.Duration(message.GetAsked())),
	}
	for tier, credit := range message.GetWaiting() {
		if tier < granter.TierCount {
			request.Waiting[tier] = decodeCredit(credit)
		}
	}

	return request
}

// encodeGrant encodes a grant at the home, with the time of the credit request as the
// offset that the borrower sent.
func encodeGrant(grant granter.Grant) *peerwire.Grant {
	return &peerwire.Grant{
		Endpoint:   grant.Endpoint,
		Credit:     encodeCredit(grant.Credit),
		LifetimeMs: uint32(grant.TTL.Milliseconds()),
		Epoch:      grant.Epoch,
		Asked:      int64(grant.RequestedAt.Sub(homeClockBase)),
	}
}

// grantDecoder returns a function that decodes grants at the borrower, whose credit
// requests were encoded with the same base.
func grantDecoder(base time.Time) func(*peerwire.Grant) granter.Grant {
	return func(message *peerwire.Grant) granter.Grant {
		return granter.Grant{
			Endpoint:    message.GetEndpoint(),
			Credit:      decodeCredit(message.GetCredit()),
			TTL:         fromMilliseconds(message.GetLifetimeMs()),
			Epoch:       message.GetEpoch(),
			RequestedAt: base.Add(time.Duration(message.GetAsked())),
		}
	}
}

// fromMilliseconds returns a number of milliseconds as a duration.
func fromMilliseconds[Count uint32 | uint64](count Count) time.Duration {
	return time.Duration(count) * time.Millisecond
}

// toAgeMilliseconds returns the age of a time in milliseconds, at least 1, or 0 for
// the zero time.
func toAgeMilliseconds(now, then time.Time) uint32 {
	if then.IsZero() {
		return 0
	}

	return uint32(max(1, now.Sub(then).Milliseconds()))
}

// maxTransitTime is longer than the transmission of a message takes. It is subtracted
// from times received as ages, so that a time that peers pass back and forth never
// becomes later.
const maxTransitTime = 30 * time.Millisecond

// timeFromAge returns the time that a peer sent as an age in milliseconds, or the
// zero time for 0. It is at most as late as the time that the peer meant.
func timeFromAge(now time.Time, ageMs uint32) time.Time {
	if ageMs == 0 {
		return time.Time{}
	}

	return now.Add(-fromMilliseconds(ageMs) - maxTransitTime)
}

// quarantineEntryEncoder returns a function that encodes quarantine entries, with
// their times as ages at now.
func quarantineEntryEncoder(now time.Time) func(quarantiner.Entry) *peerwire.Suspect {
	return func(entry quarantiner.Entry) *peerwire.Suspect {
		return &peerwire.Suspect{
			Fingerprint: entry.Fingerprint,
			Crashes: convertAll(entry.Crashes, func(crash quarantiner.Crash) *peerwire.Crash {
				return &peerwire.Crash{Name: crash.EndpointID, AgeMs: toAgeMilliseconds(now, crash.At)}
			}),
			Sure:         entry.SoleCause,
			TriedAgeMs:   toAgeMilliseconds(now, entry.LastTrialAt),
			ClearedAgeMs: toAgeMilliseconds(now, entry.LastClearedAt),
			AskedAgeMs:   toAgeMilliseconds(now, entry.LastRefusedAt),
		}
	}
}

// quarantineEntryDecoder returns a function that decodes quarantine entries that were
// received at now.
func quarantineEntryDecoder(now time.Time) func(*peerwire.Suspect) quarantiner.Entry {
	return func(message *peerwire.Suspect) quarantiner.Entry {
		return quarantiner.Entry{
			Fingerprint: message.GetFingerprint(),
			Crashes: convertAll(message.GetCrashes(), func(crash *peerwire.Crash) quarantiner.Crash {
				return quarantiner.Crash{EndpointID: crash.GetName(), At: timeFromAge(now, crash.GetAgeMs())}
			}),
			SoleCause:     message.GetSure(),
			LastTrialAt:   timeFromAge(now, message.GetTriedAgeMs()),
			LastClearedAt: timeFromAge(now, message.GetClearedAgeMs()),
			LastRefusedAt: timeFromAge(now, message.GetAskedAgeMs()),
		}
	}
}

func encodeLivenessReport(report tracker.LivenessReport) *peerwire.Sighting {
	return &peerwire.Sighting{
		Name:        report.Name,
		Incarnation: report.Incarnation,
		AgeMs:       uint64(max(0, report.Age.Milliseconds())),
		Leaving:     report.Leaving,
	}
}

func decodeLivenessReport(message *peerwire.Sighting) tracker.LivenessReport {
	return tracker.LivenessReport{
		Name:        message.GetName(),
		Incarnation: message.GetIncarnation(),
		Age:         fromMilliseconds(message.GetAgeMs()),
		Leaving:     message.GetLeaving(),
	}
}

// loadReportEncoder returns a function that encodes endpoints' load reports, with
// their time as an age at now.
func loadReportEncoder(now time.Time) func(controller.EndpointLoadReport) *peerwire.Load {
	return func(report controller.EndpointLoadReport) *peerwire.Load {
		return &peerwire.Load{
			Endpoint: report.Endpoint,
			AgeMs:    toAgeMilliseconds(now, report.Load.MeasuredAt),
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

// loadReportDecoder returns a function that decodes endpoints' load reports that were
// received at now.
func loadReportDecoder(now time.Time) func(*peerwire.Load) controller.EndpointLoadReport {
	return func(message *peerwire.Load) controller.EndpointLoadReport {
		return controller.EndpointLoadReport{
			Endpoint: message.GetEndpoint(),
			Load: balancer.LoadReport{
				MeasuredAt:      timeFromAge(now, message.GetAgeMs()),
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
