// Package pacer estimates how long work takes at one endpoint, relative to the usual time of its
// service.
//
// The load pattern that it handles: engines of one data centre that run at half the speed of the
// others for hours, and a sixth of the engines that are two and a half times slower for some hundred
// milliseconds at a time, with statements of the endpoints that are late, wrong or missing.
//
// Two quantities are kept. The lasting slowness is learned from how long answers took, changes within
// minutes and survives silence. The transient slowness is the pace that the endpoint stated, directly
// or to a peer; it decays within fractions of a second to the pace that the endpoint usually states.
// Their product is the expected slowness: 1 is usual, and 2 means that work takes twice as long.
//
// Answers decide how far statements are believed: what a response took is compared with what was
// expected without the statement, and statements count as far as the difference follows them.
//
// A Pacer is a value without a clock. It is not safe for concurrent use.
package pacer
