// Package budget limits hedges and retries to a share of recent load.
//
// Each first attempt earns Share of a token and each hedge or retry costs one,
// so that over any interval the extra attempts are at most Burst plus Share of
// the interval's first attempts. A slow or failing fleet asks for many hedges
// and retries at once; it earns no more tokens for that.
package budget
