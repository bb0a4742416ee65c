package autoscaler

import (
	"math"
	"time"
)

// history is the demand of a data centre in the past.
type history struct {
	seconds  []second // oldest first
	mean     float64  // exponentially weighted over Settings.Window
	meanAt   time.Time
	hasMeans bool
}

// second is the highest demand that was observed within a second.
type second struct {
	at               time.Time
	demand, critical float64
}

// record adds an observed demand.
func (h *history) record(now time.Time, settings Settings, demand, critical float64) {
	if !h.hasMeans {
		h.mean, h.meanAt, h.hasMeans = demand, now, true
	}
	weight := 1 - math.Exp(-now.Sub(h.meanAt).Seconds()/settings.Window.Seconds())
	h.mean += weight * (demand - h.mean)
	h.meanAt = now
	if last := len(h.seconds) - 1; last >= 0 && now.Sub(h.seconds[last].at) < time.Second {
		h.seconds[last].demand = max(h.seconds[last].demand, demand)
		h.seconds[last].critical = max(h.seconds[last].critical, critical)
	} else {
		h.seconds = append(h.seconds, second{now, demand, critical})
	}
	for now.Sub(h.seconds[0].at) > settings.PeakMemory {
		h.seconds = h.seconds[1:]
	}
}

// peak returns the highest demands within a time before now, or the last ones if there are none.
func (h *history) peak(now time.Time, window time.Duration) (peak second) {
	for i := len(h.seconds) - 1; i >= 0; i-- {
		if i < len(h.seconds)-1 && now.Sub(h.seconds[i].at) > window {
			break
		}
		peak.demand = max(peak.demand, h.seconds[i].demand)
		peak.critical = max(peak.critical, h.seconds[i].critical)
	}

	return peak
}
