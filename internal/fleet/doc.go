// Package fleet describes a deployment as its operators and leaves state it:
// the configuration with its routes and services, and the registered leaves. It
// finds the route of a request and divides the requests of a split route.
//
// Its types hold what was decoded, not how it was spelled.
package fleet
