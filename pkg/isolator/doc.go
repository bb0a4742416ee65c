// Package isolator finds the prompt blocks that crash endpoints, and decides which
// requests may not run because they contain one.
//
// A crash ends all requests of an endpoint, and any block of their prompts may be the
// cause. A block that crashes endpoints is in every crash that it causes and in no
// completed request, while other blocks are in some crashes by coincidence and complete
// elsewhere. Inputs are the requests that were running on an endpoint when it crashed, the
// blocks of completed requests, and the records of other instances. The output is a verdict
// on a prompt's blocks.
//
// A block becomes a cause when the crashes since it last completed weigh enough and no
// other cause explains them: causes are found one after the other, the best supported
// first, and each explains all crashes that it was in. If the same blocks accompanied it in
// every crash, only prompts that contain all of them are refused.
//
// Crashes that happen at nearly the same time weigh as much as one, because endpoints also
// fail together for other reasons. Records can be merged in any order and any number of
// times.
//
// A cause remains in quarantine while requests with it keep coming. In between single
// requests are allowed as trials, further and further apart; a completed one ends the
// quarantine. State is bounded by Settings. An Isolator is not safe for concurrent use.
package isolator
