// Package scheduler decides which waiting request is dispatched next, and which requests
// are refused and when.
//
// Inputs are requests, whether an endpoint had capacity for them, and how they ended,
// each with its time. Outputs are the requests to dispatch, in service order, and
// refusals with their error kind and the time after which a retry can succeed. The same
// inputs give the same outputs.
//
// Requests of a lane compete for the same endpoints. Inside a lane the highest tier goes
// first; inside a tier, workspaces share the throughput in tokens fairly. Each class has
// a guaranteed wait: the longest wait promised to its oldest request. When that wait runs
// out, the class is dispatched ahead of higher tiers, at a pace that is a fraction of the
// lane's throughput. All requests of higher tiers that wait at that time are then
// protected: they are neither evicted nor expired. A request that cannot be served in
// time is refused on arrival.
//
// Bounds: the number of waiting requests is limited by Settings.MaxWaiting, beyond which
// the newest requests of the lowest tier are evicted. The number of dispatched requests is
// limited by Settings.MaxInFlight, at which Dispatch stops. Requeued requests may exceed
// MaxWaiting by the number that were in flight. Lanes and workspaces without requests are
// remembered up to a constant number, the oldest dropped first.
//
// Failures: when no endpoint has capacity, nothing is dispatched, and unprotected requests
// expire at their deadline or at the end of their guaranteed wait. A protected request
// waits until it is served or cancelled. The tryPlace function must return false only for
// want of capacity: a request that no endpoint can ever take must be cancelled, or it
// blocks its lane. Each dispatched request must be finished or requeued.
//
// A Scheduler is not safe for concurrent use: one control goroutine owns it.
package scheduler
