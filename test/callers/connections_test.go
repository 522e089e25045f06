package callers

import "testing"

func small(path string) string { return head(path, "Content-Length: 2\r\n") + endOfHead + "bb" }

// Guards against callers whose connections take all descriptors.
func TestConnections(t *testing.T) {
	runRows(t, descriptorCrowd, fewDescriptors, false, []row{
		{name: "nothing sent", request: small, withheld: maxHeaderBytes, path: singlePath},
		{name: "heads unfinished", request: small, withheld: len(endOfHead + "bb"), path: singlePath},
		{name: "bodies unfinished", request: small, withheld: 1, path: singlePath},
		{name: "idle after a request", request: ordinary, path: ordinaryPath},
	})
}

// Guards against refusals that wait for the rest of a body, and so for ever.
func TestRefusedBodies(t *testing.T) {
	runRows(t, descriptorCrowd, fewDescriptors, false, []row{
		{name: "no route", request: small, withheld: 1, path: nonePath},
	})
}
