// Package idletime estimates how long leaves keep an idle connection open when they do
// not state it.
//
// Load pattern: a VM sends a leaf a request each second or so, and the leaf closes
// connections that are idle for a second. A VM that assumes ten seconds takes such a leaf
// for connected, chooses it before others, and finds at each request that it has to open
// a new connection.
package idletime
