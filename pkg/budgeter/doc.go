// Package budgeter decides how much memory the requests of an instance may hold: their bodies, and the
// answers that are kept until they are whole.
//
// Claims are granted in bytes. Small ones may use the whole budget. Large ones leave a reserve to
// them, and wait in the order in which they came; so many large requests delay each other, but no small
// one. A body waits until its claim is granted, since it is kept whole. An answer does not: it can
// be forwarded as it arrives.
//
// The decision depends on the calls only: it has no clock. A Budgeter is not safe for concurrent use.
package budgeter
