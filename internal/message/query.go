package message

import (
	"net/http"
	"time"
)

// Query is a caller's query over many shards that another VM runs. Without a
// path it only asks how the other VM is.
type Query struct {
	RequestID string `msgpack:"i"`
	// Version is that of the configuration in force at the asking VM.
	Version uint64 `msgpack:"v"`
	// Method, Host and Path are the caller's; Target is the path with its query as
	// it was sent.
	Method string `msgpack:"m"`
	Host   string `msgpack:"h"`
	Path   string `msgpack:"p"`
	Target string `msgpack:"t"`
	// Header are the headers that go on to leaves.
	Header  http.Header `msgpack:"e"`
	Body    []byte      `msgpack:"b,omitempty"`
	HasBody bool        `msgpack:"d,omitempty"`
	// TimeLeft is how long the caller waits; 0 when it does not say.
	TimeLeft time.Duration `msgpack:"l,omitempty"`
}

// QueryAnswer answers a Query.
type QueryAnswer struct {
	// Declined is true when the query did not run and will not.
	Declined bool `msgpack:"n,omitempty"`
	// Isolated is true when the VM reaches too few leaves.
	Isolated bool        `msgpack:"c,omitempty"`
	Status   int         `msgpack:"s,omitempty"`
	Header   http.Header `msgpack:"e,omitempty"`
	Body     []byte      `msgpack:"b,omitempty"`
}
