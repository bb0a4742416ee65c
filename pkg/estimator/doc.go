// Package estimator estimates how many tokens an answer will have, so that
// capacity is reserved for the likely length of the answer rather than for the
// caller's limit.
//
// The input is the lengths of finished answers by workspace, class and model,
// each with its time. The output is an estimate with a quantile, which is what
// to reserve, and the mean. For an answer that is streaming, the estimate is of
// the tokens still to come.
//
// Each key has a sketch, a histogram of lengths in logarithmic buckets, in which
// older answers count less. The distribution for a key with few answers is
// filled up from wider groups: the answers of its class and model, then those
// of its model, then all answers, and at last Settings.PriorTokens.
//
// Memory is bounded by Settings.MaxGroups sketches of about 600 bytes each.
// Beyond that the least recently used sketch is dropped, and its key is
// estimated from its class and model again. Wider groups are used with each of
// their keys and therefore outlast them. Lengths above 2^18 tokens count as 2^18.
//
// No call fails. An estimate may be wrong, but never exceeds a positive limit.
//
// An Estimator is not safe for concurrent use: one control goroutine owns it.
package estimator
