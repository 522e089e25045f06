package message

import (
	"net/http"
	"time"
)

// Query is a caller's query over many shards that is delegated to another VM.
// With an empty Path it runs nothing and only requests QueryAnswer.Partitioned.
type Query struct {
	RequestID string `msgpack:"i"`
	// Version is the version of the sender's active configuration.
	Version uint64 `msgpack:"v"`
	// Method, Host and Path are those of the caller's request; Target is the
	// request target (path and query string) as the caller sent it.
	Method string `msgpack:"m"`
	Host   string `msgpack:"h"`
	Path   string `msgpack:"p"`
	Target string `msgpack:"t"`
	// Header holds the headers that are forwarded to leaves.
	Header  http.Header `msgpack:"e"`
	Body    []byte      `msgpack:"b,omitempty"`
	HasBody bool        `msgpack:"d,omitempty"`
	// TimeLeft is how long the caller still waits, or 0 if the caller did not
	// state it.
	TimeLeft time.Duration `msgpack:"l,omitempty"`
}

// QueryAnswer is the reply to a Query.
type QueryAnswer struct {
	// Declined is true when the query has not run and will not run.
	Declined bool `msgpack:"n,omitempty"`
	// Partitioned is true when the VM reaches no other zone and too few leaves to run
	// queries.
	Partitioned bool `msgpack:"c,omitempty"`
	// Runs is how many queries of other VMs the VM runs, besides this one.
	Runs   int         `msgpack:"q,omitempty"`
	Status int         `msgpack:"s,omitempty"`
	Header http.Header `msgpack:"e,omitempty"`
	Body   []byte      `msgpack:"b,omitempty"`
}
