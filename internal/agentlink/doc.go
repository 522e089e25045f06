// Package agentlink connects an entry or a relay to the agent of its VM. It
// follows the agent's generations, fetches the sections that changed, builds
// the topology and hands it on. Generations handed on only rise.
package agentlink
