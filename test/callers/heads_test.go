package callers

import "testing"

// endOfHead is the empty line that ends a head.
const endOfHead = "\r\n"

func shortLines(path string) string { return longHead(path, shortLine) + endOfHead }

func oddLines(path string) string { return longHead(path, oddLine) + endOfHead }

// Guards against heads that take far more memory than their bytes while callers do not end them,
// also such as follow an answered request on its connection.
func TestUnfinishedHeads(t *testing.T) {
	runRows(t, memoryCrowd, smallMemory, false, []row{
		{name: "short lines", request: shortLines, withheld: len(endOfHead), path: singlePath},
		{name: "short lines, piece by piece", request: shortLines, withheld: len(endOfHead), piece: 1024, path: singlePath},
		{name: "odd lines", request: oddLines, withheld: len(endOfHead), path: singlePath},
		{
			name:    "short lines after a request",
			request: func(path string) string { return ordinary(path) + shortLines(path) }, withheld: len(endOfHead), path: ordinaryPath,
		},
	})
}

// Guards against heads that take memory for each leaf that they are sent to.
func TestForwardedHeads(t *testing.T) {
	runRows(t, memoryCrowd, smallMemory, false, []row{
		{name: "short lines, one leaf", request: shortLines, path: singlePath},
		{name: "short lines, many leaves", request: shortLines, path: widePath},
		{name: "odd lines, many leaves", request: oddLines, path: widePath},
	})
}

// Guards against requests that take memory for each leaf that they are sent to, so that a few of
// them exceed the memory of the VM on a large deployment.
func TestRequestsToManyLeaves(t *testing.T) {
	runRows(t, memoryCrowd, smallMemory, false, []row{
		{name: "short header lines", request: shortLines, path: widePath, shards: largeShards},
		{name: "odd header lines", request: oddLines, path: widePath, shards: largeShards},
		{name: "bodies", request: withBody, path: widePath, shards: largeShards},
	})
}
