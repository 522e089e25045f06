package wire

import "github.com/vmihailenco/msgpack/v5/msgpcode"

// valueFormat describes the layout of the values that start with one msgpack
// code: a length field of lengthBytes, then fixed bytes, and for each unit of the
// length perBytes bytes and perValues nested values.
type valueFormat struct {
	lengthBytes int
	fixed       uint64
	perBytes    uint64
	perValues   uint64
}

var valueFormats = map[byte]valueFormat{
	msgpcode.Nil: {}, msgpcode.False: {}, msgpcode.True: {},
	msgpcode.Uint8: {fixed: 1}, msgpcode.Int8: {fixed: 1},
	msgpcode.Uint16: {fixed: 2}, msgpcode.Int16: {fixed: 2},
	msgpcode.Uint32: {fixed: 4}, msgpcode.Int32: {fixed: 4}, msgpcode.Float: {fixed: 4},
	msgpcode.Uint64: {fixed: 8}, msgpcode.Int64: {fixed: 8}, msgpcode.Double: {fixed: 8},
	msgpcode.Str8: {lengthBytes: 1, perBytes: 1}, msgpcode.Bin8: {lengthBytes: 1, perBytes: 1},
	msgpcode.Str16: {lengthBytes: 2, perBytes: 1}, msgpcode.Bin16: {lengthBytes: 2, perBytes: 1},
	msgpcode.Str32: {lengthBytes: 4, perBytes: 1}, msgpcode.Bin32: {lengthBytes: 4, perBytes: 1},
	msgpcode.Array16: {lengthBytes: 2, perValues: 1}, msgpcode.Array32: {lengthBytes: 4, perValues: 1},
	msgpcode.Map16: {lengthBytes: 2, perValues: 2}, msgpcode.Map32: {lengthBytes: 4, perValues: 2},
	msgpcode.FixExt1: {fixed: 2}, msgpcode.FixExt2: {fixed: 3}, msgpcode.FixExt4: {fixed: 5},
	msgpcode.FixExt8: {fixed: 9}, msgpcode.FixExt16: {fixed: 17},
	msgpcode.Ext8:  {lengthBytes: 1, fixed: 1, perBytes: 1},
	msgpcode.Ext16: {lengthBytes: 2, fixed: 1, perBytes: 1},
	msgpcode.Ext32: {lengthBytes: 4, fixed: 1, perBytes: 1},
}
