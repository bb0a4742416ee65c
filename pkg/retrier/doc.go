// Package retrier decides whether a failed request is retried, resumed or
// answered with an error.
//
// A Retrier records first attempts and decides on failed ones. A decision holds
// the wait before the next attempt or, if there is none, the error for the
// caller. Each retry takes one retry from the budget of its class and one from
// the budget of the endpoint that failed; each first attempt adds a fraction of
// a retry to both. A resumption doesn't run the request again and takes nothing
// from the budgets; only the number of attempts limits it.
//
// An error that promises that the request was not run needs a StartStatus from
// NeverSent or ConfirmedNeverStarted, for the last attempt and for all earlier
// ones.
//
// There is one budget for each class and each endpoint, up to
// Settings.MaxBudgets of either. Beyond that the least recently used one is
// evicted; it starts full if it is needed again. A Retrier is not safe for
// concurrent use.
//
// For relayed requests, an AttemptHistory and a RepeatLimiter decide instead
// whether a request is repeated.
package retrier
