// Package msgfields encodes and decodes messages field by field. It produces
// the same bytes that msgpack writes by reflection from the struct tags, in a
// fraction of the CPU time. It is used for the messages that are exchanged for
// each leaf request.
package msgfields
