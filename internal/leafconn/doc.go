// Package leafconn exchanges requests with a leaf over plain HTTP/1.1, one
// request at a time on a connection.
//
// A connection is reused only when no data can be left on it: the reply was
// delimited and read to its end, no further byte has arrived, and the request
// was written completely. Replies to other requests, as identified by the
// caller of Exchange, are skipped, because a leaf may send a late second reply
// to an earlier request.
package leafconn
