// Package drainplan decides which requests a VM still serves after it was told to stop.
//
// Load pattern: under steady load most of a request's time is the wait for a connection to a
// leaf, and its time limit lies beyond the moment at which the VM is killed. A request that
// is still waiting then is lost, although it has not run and another VM could serve it; one
// that a leaf is running may have taken effect, and its caller must not repeat it. So a
// stopping VM refuses a request as soon as the recent times of its route show that no answer
// will arrive in time, and ends all others shortly before the kill.
//
// The package has no clock, no I/O and no goroutines. Times are monotonic since the start of
// the process.
package drainplan
