// Package measure simulates queries in virtual time. It runs the packages that
// decide about hedges, warm-up, admission and budgets against fake leaves and a
// fake network, and reports tail latency, coverage, extra load and the effect of
// taking an availability zone out of service and back.
//
// It compares policies and doesn't model a whole deployment: there is one event
// heap, one entry per availability zone, one relay per leaf, no sockets and no
// goroutines. A run depends only on its scenario, size, policy and seed.
// No other package imports it.
package measure
