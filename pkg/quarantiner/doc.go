// Package quarantiner decides which requests may not run because they crash the
// endpoints that run them. A request is identified by its fingerprint.
//
// Inputs are the fingerprints that were running on an endpoint when it crashed, the
// fingerprints that ran to completion, and the entries of other instances. The output
// is a verdict on each fingerprint. After one crash a fingerprint is a suspect and may
// run once more, alone. After two crashes it is quarantined. A fingerprint that runs to
// completion is cleared at once. Entries from other instances can be merged in any order
// and any number of times, with the same result.
//
// State is bounded by Settings.MaxEntries. Beyond it, the entry with the oldest event is
// evicted, and suspects are evicted before quarantined entries. Every entry expires. A
// request that only happened to be running at two crashes is quarantined as well, but
// just for Settings.AmbiguousQuarantineDuration. A Quarantiner is not safe for concurrent
// use.
package quarantiner
