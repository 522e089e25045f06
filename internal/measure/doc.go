// Package measure runs the decision packages against small fakes in virtual
// time and reports tail latency, coverage, extra load and what happens while
// an availability zone is taken out and returns.
//
// It is a bench for decision code and not a model of a deployment: one event
// heap, one entry per availability zone, one relay per leaf, no sockets and no
// goroutines. A run depends only on its scenario, size, policy and seed.
// No other package links it.
package measure
