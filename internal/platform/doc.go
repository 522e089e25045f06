// Package platform is the client of the platform's object store and VM list.
// Every call is bounded in time; errors carry the step and the peer.
package platform
