// Package slopes measures how memory, processor time and message sizes grow
// with the number of leaves and VMs. Its benchmarks call only public functions
// of other packages; docs/CAPACITY.md computes the design target from them.
package slopes
