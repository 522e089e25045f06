package leafconn

// Match says to which request a reply belongs, by its headers.
type Match int

// Matches of a reply.
const (
	// MatchOther is a reply that names another request.
	MatchOther Match = iota
	// MatchOwn is a reply that names the request that was sent.
	MatchOwn
	// MatchUnnamed is a reply that names no request.
	MatchUnnamed
)
