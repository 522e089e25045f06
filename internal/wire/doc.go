// Package wire carries messages between the system's own processes.
//
// A frame is a 4-byte big-endian length followed by one msgpack-encoded
// Envelope. A Peer multiplexes calls over one TCP connection: any number of
// calls may be outstanding, replies arrive in any order, and a reply is
// delivered only if its ID, shard and snapshot match the call. Both ends may
// call.
//
// A connection on which nothing arrives for idleTimeout is closed, because a
// connection can stop delivering data permanently while new connections to the
// same peer work.
package wire
