// Package orderer decides which orders the holder of a lease sends to model engines
// to carry out planned changes of their model, version, adapter or role.
//
// Its inputs are the resources in force, the state of the lease, and the state that
// each engine reports; its outputs are reads, orders and progress reports. An order
// states the whole desired state, so that sending it twice has no further effect. It
// carries a fencing token and an expiry time, and counts as done only when the engine
// is read back in the desired state. An endpoint's desired state results from the
// planned changes that name it, applied in the order that their AfterChange fields
// give, up to the one in progress. A new holder can therefore resume by reading the
// engines.
//
// Loads of model weights are limited by a budget that is stored in the lease object. A
// load is deducted from the stored budget before it is ordered, so that successive
// holders together never exceed the rate that the weight store allows.
//
// Endpoints that check fencing tokens refuse the orders of a previous holder. For an
// endpoint that does not, a new holder first waits for the lease's duration plus the
// longest lifetime of an order, then reads the state, and only then sends orders. Such
// an endpoint can still obey a previous holder's order that was delayed in transit for
// longer than that.
//
// State is bounded by the number of endpoints and planned changes in force. An Orderer
// is not safe for concurrent use.
package orderer
