// Package warmup decides how many requests one leaf may get now, from what the
// relay itself observes of the leaf. A leaf without measurements is cold. A
// report of the leaf can lower the limit and can show that the leaf restarted,
// but only replies raise the limit, since reports may be stale or misleading.
//
// A leaf is demoted, that is, it becomes cold again, when its replies are slow,
// a connection is reset, it restarts, or another relay finds it cold.
package warmup
