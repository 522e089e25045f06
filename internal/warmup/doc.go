// Package warmup decides how much load one leaf may get now, from what the
// relay itself saw of the leaf. A leaf without measurements is cold. Reports of
// the leaf can lower the limit and can show that it restarted, but only replies
// raise the limit, since reports may be stale or misleading.
package warmup
