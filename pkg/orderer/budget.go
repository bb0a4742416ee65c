package orderer

import (
	"encoding/json"
	"time"
)

// StoredBudget is the payload of the lease object: the loads of model weights that may
// still be started.
type StoredBudget struct {
	// AvailableLoads is the number of loads left. Loads that were deducted in advance
	// are not included.
	AvailableLoads float64 `json:"level"`
	// Sequence counts the deductions, so that a holder can tell whether its last one is
	// stored.
	Sequence uint64 `json:"turn"`
}

// loadBudget limits the rate of loads as a token bucket whose level is stored in the
// lease object.
type loadBudget struct {
	loadsPerSecond float64 // Rate at which availableLoads grows.
	maxLoads       float64 // Upper bound of availableLoads.
	availableLoads float64
	refilledAt     time.Time
	sequence       uint64
	// unsavedLoads were deducted from availableLoads, but the deduction is not stored
	// yet; savedLoads were deducted in the store as well and may be ordered.
	unsavedLoads int
	savedLoads   int
}

// restore takes over the budget that the last holder stored, or a full one if none can
// be read. Loads that became available since it was stored are lost, because that time
// is known only by another instance's clock.
func (b *loadBudget) restore(now time.Time, payload json.RawMessage) {
	var stored StoredBudget
	availableLoads := b.maxLoads
	if len(payload) > 0 && json.Unmarshal(payload, &stored) == nil {
		availableLoads = min(max(stored.AvailableLoads, 0), b.maxLoads)
	}
	b.availableLoads, b.refilledAt, b.sequence = availableLoads, now, stored.Sequence
	b.unsavedLoads, b.savedLoads = 0, 0
}

// refill adds the loads that became available since the last refill.
func (b *loadBudget) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt).Seconds(); elapsed > 0 {
		b.availableLoads = min(b.maxLoads, b.availableLoads+elapsed*b.loadsPerSecond)
		b.refilledAt = now
	}
}

// takeLoad uses up one load whose deduction is stored. If there is none, it deducts one
// when the budget allows it and reports that the budget has to be saved first.
func (b *loadBudget) takeLoad(now time.Time) (taken, mustSave bool) {
	if b.savedLoads > 0 {
		b.savedLoads--
		return true, false
	}
	if b.unsavedLoads > 0 {
		return false, false
	}
	b.refill(now)
	if b.availableLoads < 1 {
		return false, false
	}
	b.availableLoads--
	b.unsavedLoads++
	b.sequence++
	return false, true
}

// payload returns the budget in the form that the lease object stores.
func (b *loadBudget) payload() json.RawMessage {
	data, err := json.Marshal(StoredBudget{AvailableLoads: b.availableLoads, Sequence: b.sequence})
	if err != nil {
		return nil // Not reached: two numbers can always be encoded.
	}
	return data
}

// recordSaved makes the deducted loads usable if the stored payload includes their
// deduction.
func (b *loadBudget) recordSaved(payload json.RawMessage) {
	var stored StoredBudget
	if json.Unmarshal(payload, &stored) != nil || stored.Sequence != b.sequence {
		return
	}
	b.savedLoads += b.unsavedLoads
	b.unsavedLoads = 0
}
