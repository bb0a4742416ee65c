package placer

import (
	"maps"
	"time"
)

// WantedDemand is the work that arrives at the instances of a data centre for one service, whether
// it is placed, postponed or finds no engine, as a number of engines at their target utilisation.
type WantedDemand struct {
	// Short and Long are the engines kept busy by short and by long prompts.
	Short, Long float64
	// Age is the time since the oldest report that is part of it was received; 0 if it is this
	// instance's own.
	Age time.Duration
}

// SetScaledServices sets the names of the services whose engines are ordered by demand. Only their
// postponed prompts count as demand, and only their summaries have totals.
func (p *Placer) SetScaledServices(names []string) {
	p.scaled = map[string]bool{}
	for _, name := range names {
		p.scaled[name] = true
	}
	if p.peerDataCentres == nil {
		p.peerDataCentres = map[string]string{}
	}
}

// SetPeerDataCentre records the data centre of a peer that reports its own demand.
func (p *Placer) SetPeerDataCentre(peer, dataCentre string) {
	if len(p.scaled) > 0 {
		p.peerDataCentres[peer] = dataCentre
	}
}

// RecordPostponed records that a request is postponed for which Pick made a choice. It counts as an
// arrival of a scaled service, so that the demand shows what engines are too few for.
func (p *Placer) RecordPostponed(now time.Time, request Request, choice Choice) {
	if p.scaled[request.Service] && request.PromptTokens > 0 {
		p.getOrCreateService(request.Service).arrivals.record(now, choice)
	}
}

// RecordUnplaced records that no engine may get a request. It counts as an arrival of a scaled
// service, with all of its prompt.
func (p *Placer) RecordUnplaced(now time.Time, request Request) {
	if !p.scaled[request.Service] {
		return
	}
	s := p.getOrCreateService(request.Service)
	p.RecordPostponed(now, request, Choice{UncachedTokens: request.PromptTokens, IsLongPrompt: request.PromptTokens >= s.minLongPromptTokens})
}

// AddTotals adds the demand of all instances of the own data centre to the demands of scaled
// services, for a summary.
func (p *Placer) AddTotals(now time.Time, demands map[string]Demand) {
	for name := range p.scaled {
		if s := p.services[name]; s != nil {
			wanted := s.wanted(now, p.peerDataCentres, p.settings.DataCentre)[p.settings.DataCentre]
			demand := demands[name]
			demand.TotalShort, demand.TotalLong = wanted.Short, wanted.Long
			if demand != (Demand{}) {
				demands[name] = demand
			}
		}
	}
}

// WantedDemands returns the demand for a service by data centre, as far as it is known. Data
// centres whose last report is older than peerDemandTTL are included with its age.
func (p *Placer) WantedDemands(now time.Time, service string) map[string]WantedDemand {
	s := p.services[service]
	if s == nil {
		return map[string]WantedDemand{}
	}

	return s.wanted(now, p.peerDataCentres, p.settings.DataCentre)
}

// wanted returns the demand by data centre: that of the own one from the instances' reports, that of
// others from their last summaries or, where there is none, from the instances' reports.
func (s *service) wanted(now time.Time, peerDataCentres map[string]string, own string) map[string]WantedDemand {
	total := s.localDemand(now)
	sums := map[string]WantedDemand{own: {Short: total.ShortPromptEngines, Long: total.LongPromptEngines}}
	for peer, demand := range s.peerDemands {
		age := now.Sub(demand.receivedAt)
		if age > peerDemandTTL {
			continue
		}
		dataCentre, ok := peerDataCentres[peer]
		if !ok {
			dataCentre = own
		}
		sum := sums[dataCentre]
		sum.Short += demand.ShortPromptEngines
		sum.Long += demand.LongPromptEngines
		if dataCentre != own {
			sum.Age = max(sum.Age, age)
		}
		sums[dataCentre] = sum
	}
	maps.DeleteFunc(s.remoteDemands, func(_ string, demand peerDemand) bool { return now.Sub(demand.receivedAt) > remoteTotalTTL })
	for dataCentre, demand := range s.remoteDemands {
		if demand.TotalShort+demand.TotalLong > 0 {
			sums[dataCentre] = WantedDemand{Short: demand.TotalShort, Long: demand.TotalLong, Age: now.Sub(demand.receivedAt)}
		}
	}

	return sums
}

// remoteTotalTTL is how long the demand of another data centre is kept. It is far longer than the
// age up to which it is used, so that a data centre that falls silent is told from one without
// demand.
const remoteTotalTTL = 10 * time.Minute
