// Package leafconn exchanges requests with a leaf over plain HTTP/1.1, one
// request at a time on a connection.
//
// A connection is used again only when it is certain that nothing is left on
// it: the reply had a length and was read to its end, no further byte has
// arrived, and the request was written in full. A reply that does not belong to
// the request, as the caller of Exchange tells, is skipped, since a leaf may
// send a late second reply to an earlier request.
package leafconn
