package emulator

import "time"

const (
	// tombstoneTTL is how long requests with a stream id are refused after the id
	// was canceled before its request arrived, or after its ended stream was dropped.
	tombstoneTTL = 10 * time.Minute
	// maxTombstones is the maximum number of tombstones; the oldest is removed first.
	maxTombstones = 65536
)

// streamStatus is the status of a stream, as the engine's API returns it.
type streamStatus struct {
	State           streamState `json:"state"`
	Started         bool        `json:"started"`
	GeneratedTokens int         `json:"tokens"`
	// BootNumber counts the restarts of the engine. A restart loses all streams, so
	// the answer that a stream is unknown proves nothing about requests sent before
	// the last restart.
	BootNumber int `json:"boot"`
}

func statusOf(s *stream) streamStatus {
	return streamStatus{State: s.state, Started: s.hasStarted, GeneratedTokens: s.generatedTokens}
}

// tombstones keeps the ids of streams that must not run again, each with the last
// status of its stream.
type tombstones struct {
	byID     map[string]tombstone
	idsByAge []string
}

type tombstone struct {
	status    streamStatus
	expiresAt time.Time
}

func newTombstones() tombstones {
	return tombstones{byID: map[string]tombstone{}}
}

func (t *tombstones) add(id string, status streamStatus, now time.Time) {
	if _, exists := t.byID[id]; !exists {
		t.idsByAge = append(t.idsByAge, id)
	}
	t.byID[id] = tombstone{status: status, expiresAt: now.Add(tombstoneTTL)}
	for len(t.idsByAge) > 0 {
		oldest := t.idsByAge[0]
		if len(t.idsByAge) <= maxTombstones && t.byID[oldest].expiresAt.After(now) {
			return
		}
		t.idsByAge = t.idsByAge[1:]
		delete(t.byID, oldest)
	}
}

func (t *tombstones) find(id string, now time.Time) (streamStatus, bool) {
	found, ok := t.byID[id]

	return found.status, ok && found.expiresAt.After(now)
}
