// Package budget limits hedges and retries to a share of recent load.
//
// Each first attempt earns Share of a token and each hedge or retry costs one
// token, so that over any interval the extra attempts are at most Burst plus Share
// of the interval's first attempts. This also holds for a slow or failing fleet,
// at which many hedges and retries are requested at once. Rate earns tokens in
// addition.
package budget
