// Package agentlink connects an entry or a relay to the agent of its VM. For each
// new generation that the agent offers, it fetches the sections that changed, builds
// the topology and passes it to a Receiver. It never passes an older generation
// after a newer one.
package agentlink
