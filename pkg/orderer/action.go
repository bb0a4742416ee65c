package orderer

import (
	"time"
)

// EngineState is what an engine says of itself.
type EngineState struct {
	// Fence is the highest fencing number it saw.
	Fence   uint64 `json:"fence"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
	Loading bool   `json:"loading"`
	// LoadProgress of the load, 0 to 1.
	LoadProgress float64 `json:"progress"`
}

// DesiredState is the state that an engine is to have; empty fields are left as
// they are.
type DesiredState struct {
	Model   string
	Adapter string
	Version string
	Role    string
}

// Action is something for the caller to do. It is one of the types below.
type Action interface{ isAction() }

// ReadState asks for an engine's state; answer with Read or ReadFailed.
type ReadState struct {
	Endpoint string
	Address  string
	// Asked is when the read was asked for.
	Asked time.Time
}

// Order asks to give an order, if the lease is still held when it is sent;
// answer with Ordered, Refused or OrderFailed.
type Order struct {
	Endpoint string
	Address  string
	Fence    uint64
	// ExpiresAt is the end of the order: later it must not be sent nor obeyed.
	ExpiresAt time.Time
	DesiredState
}

// SavePayload asks to write the Payload into the lease object soon; answer with Saved.
type SavePayload struct{}

// ReportProgress is the progress of a change, for its status.
type ReportProgress struct {
	ChangeName string
	Progress   Progress
}

// Superseded says that an engine knows a higher fencing number: another holder
// has taken over.
type Superseded struct {
	Endpoint string
	Fence    uint64
}

func (ReadState) isAction()      {}
func (Order) isAction()          {}
func (SavePayload) isAction()    {}
func (ReportProgress) isAction() {}
func (Superseded) isAction()     {}

// Phase is how far a change is.
type Phase string

// The phases of a change.
const (
	PhaseWaiting Phase = "waiting"
	PhasePaused  Phase = "paused"
	PhaseRunning Phase = "running"
	PhaseStalled Phase = "stalled"
	PhaseDone    Phase = "done"
)

// Progress is how far a change is, for its status.
type Progress struct {
	Phase Phase `json:"phase"`
	// DoneEndpoints is the number of endpoints that are as ordered, Total of all.
	DoneEndpoints  int `json:"done"`
	TotalEndpoints int `json:"total"`
	// CurrentEndpoints are the endpoints being changed.
	CurrentEndpoints []string `json:"current,omitempty"`
	// Reason says what a waiting or stalled change waits for.
	Reason string `json:"reason,omitempty"`
}
