// Package slopes measures how memory, CPU time and message sizes grow with the
// number of leaves and VMs. Its benchmarks call only exported functions of other
// packages. docs/CAPACITY.md computes the design target from their results.
package slopes
