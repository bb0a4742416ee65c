// Package answerer defines the error kinds with which a request can end and
// the table that maps each kind to the HTTP response of the caller: a status,
// an outcome, the minimum time before a retry, and the counter of the kind.
//
// The list of kinds is closed, and the package keeps no state. Only a kind
// whose outcome is NotRun promises that the request did not run; the table is
// in answer.go.
package answerer
