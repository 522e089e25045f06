package message

import "github.com/medlarswitch/medlarswitch/internal/topology"

// ConfigFetch requests the text of one version of a section from an agent.
type ConfigFetch struct {
	Section string `msgpack:"s"`
	EditID  string `msgpack:"e"`
}

// ConfigPush is the reply to a ConfigFetch. Found is false when the agent does
// not hold that version.
type ConfigPush struct {
	Section string `msgpack:"s"`
	EditID  string `msgpack:"e"`
	Found   bool   `msgpack:"f"`
	Text    []byte `msgpack:"t"`
}

// VMView carries the platform's VM list as an agent last read it.
type VMView struct {
	View topology.VMView `msgpack:"v"`
}
