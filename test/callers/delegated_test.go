package callers

import "testing"

// Guards against queries that exceed the memory of the VM that delegates them, or of the one that
// runs them.
func TestDelegatedQueries(t *testing.T) {
	runRows(t, memoryCrowd, smallMemory, true, []row{
		{name: "short header lines", request: shortLines, path: widePath},
		{name: "bodies", request: withBody, path: widePath},
		{name: "small chunks", request: smallChunks, path: widePath},
	})
}
