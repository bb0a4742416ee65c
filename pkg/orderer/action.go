package orderer

import (
	"time"
)

// EngineState is the state that an engine reports, in the engine's JSON form.
type EngineState struct {
	// Fence is the highest fencing token that the engine has seen.
	Fence   uint64 `json:"fence"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
	// Loading is whether the engine is loading weights.
	Loading bool `json:"loading"`
	// LoadProgress is the fraction of the load that is done, from 0 to 1.
	LoadProgress float64 `json:"progress"`
}

// DesiredState is the state that an engine should have. An empty field leaves the engine's
// value as it is.
type DesiredState struct {
	Model   string
	Adapter string
	Version string
	Role    string
}

// Action is an operation that the caller has to carry out. Its types are declared in
// this file.
type Action interface{ isAction() }

// ReadState requests a read of an engine's state. Pass the result to
// Orderer.OnStateRead or Orderer.OnStateReadFailed.
type ReadState struct {
	Endpoint string // The endpoint's name.
	Address  string
	// RequestedAt is when the orderer requested the read. The state is at least as new.
	RequestedAt time.Time
}

// Order requests that an order is sent to an engine, if the lease is still held then.
// Pass the result to Orderer.OnOrderAccepted, Orderer.OnOrderRefused or
// Orderer.OnOrderFailed.
type Order struct {
	Endpoint string
	Address  string
	Fence    uint64
	// ExpiresAt is the expiry of the order, after which it must be neither sent nor obeyed.
	ExpiresAt time.Time
	DesiredState
}

// SavePayload requests that Orderer.Payload is written into the lease object soon. Call
// Orderer.OnPayloadSaved when it is.
type SavePayload struct{}

// ReportProgress requests that the progress of a planned change is written to its status.
type ReportProgress struct {
	ChangeName string // The name of the planned change.
	Progress   Progress
}

// Superseded reports that an engine knows a higher fencing token than this holder's,
// which means that another instance has acquired the lease.
type Superseded struct {
	Endpoint string
	Fence    uint64
}

func (ReadState) isAction()      {}
func (Order) isAction()          {}
func (SavePayload) isAction()    {}
func (ReportProgress) isAction() {}
func (Superseded) isAction()     {}

// Phase is the stage that a planned change has reached.
type Phase string

// The phases of a planned change.
const (
	// PhaseWaiting: a change that must come first is not done, or the states of the
	// endpoints are not known yet.
	PhaseWaiting Phase = "waiting"
	// PhasePaused: the change is declared paused and no endpoint is being changed.
	PhasePaused Phase = "paused"
	// PhaseRunning: at least one endpoint is being changed.
	PhaseRunning Phase = "running"
	// PhaseStalled: an endpoint exceeded the time limit, or MaxOrderAttempts orders did
	// not bring it into the desired state and the last read or order failed.
	PhaseStalled Phase = "stalled"
	// PhaseDone: all endpoints reached the desired state.
	PhaseDone Phase = "done"
)

// Progress is the progress of a planned change as it is written to its status.
type Progress struct {
	Phase Phase `json:"phase"`
	// DoneEndpoints is the number of endpoints in the desired state, TotalEndpoints the
	// number of all endpoints of the change.
	DoneEndpoints  int `json:"done"`
	TotalEndpoints int `json:"total"`
	// CurrentEndpoints lists the names of the endpoints that are being changed.
	CurrentEndpoints []string `json:"current,omitempty"`
	// Reason says what a waiting change waits for or why a change is stalled.
	Reason string `json:"reason,omitempty"`
}
