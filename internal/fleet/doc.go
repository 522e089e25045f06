// Package fleet describes a deployment: the configuration with its routes and
// services, and the registered leaves. It finds the route of a request and divides
// the requests of a split route among services.
//
// Its types are independent of the encoding of the platform.
package fleet
