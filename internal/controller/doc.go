// Package controller owns the state by which a router instance admits, queues,
// places and retries requests. One control goroutine passes events to the
// decision packages of pkg/ (scheduler, estimator, balancer, granter, limiter,
// retrier, quarantiner, tracker), which do no I/O, and carries out their
// decisions. The goroutines that serve requests send it events and wait for the
// results.
package controller
