// Package decoder decodes messages of other processes. It refuses values that are nested too
// deeply: the decoder of msgpack is recursive, also where it skips unknown fields, so that
// one message of a few megabytes would end the process that reads it.
//
// # Usage
//
//	var heartbeat messenger.Heartbeat
//	err := decoder.Unmarshal(data, &heartbeat)
package decoder

import (
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("decoder")

// ErrTooDeep is wrapped by the error for a value that is nested too deeply.
var ErrTooDeep = errs.New("value is nested too deeply")

const (
	// MaxDepth is the maximum nesting of a value. Messages have less than ten levels.
	MaxDepth = 100
	// maxUncheckedBytes is the size up to which data is decoded unchecked: each level takes
	// a byte, and the stack for so many is small.
	maxUncheckedBytes = 4 << 10
)

// Unmarshal decodes data into value, which must be a pointer.
func Unmarshal(data []byte, value any) error {
	if len(data) > maxUncheckedBytes && exceedsDepth(data) {
		return Error.New("%d bytes: %w", len(data), ErrTooDeep)
	}
	if err := msgpack.Unmarshal(data, value); err != nil {
		return Error.New("decoding %d bytes: %w", len(data), err)
	}
	return nil
}

// exceedsDepth reports whether a value is nested deeper than MaxDepth. Data that is not
// well-formed before that depth is left to the decoder.
func exceedsDepth(data []byte) bool {
	// open holds the number of elements left at each level.
	open := make([]uint64, 1, MaxDepth+1)
	open[0] = 1
	for len(open) > 0 {
		last := len(open) - 1
		if open[last] == 0 {
			open = open[:last]
			continue
		}
		open[last]--
		size, elements, ok := readHead(data)
		if !ok || size > uint64(len(data)) {
			return false
		}
		data = data[size:]
		if elements == 0 {
			continue
		}
		if len(open) > MaxDepth {
			return true
		}
		open = append(open, elements)
	}
	return false
}

// readHead returns the size of the first value in data, without its elements, and the number
// of its elements. It returns false if data has no value.
func readHead(data []byte) (size, elements uint64, ok bool) {
	if len(data) == 0 {
		return 0, 0, false
	}
	code := data[0]
	switch {
	case msgpcode.IsFixedNum(code):
		return 1, 0, true
	case msgpcode.IsFixedMap(code):
		return 1, 2 * uint64(code&msgpcode.FixedMapMask), true
	case msgpcode.IsFixedArray(code):
		return 1, uint64(code & msgpcode.FixedArrayMask), true
	case msgpcode.IsFixedString(code):
		return 1 + uint64(code&msgpcode.FixedStrMask), 0, true
	}
	switch code {
	case msgpcode.Nil, msgpcode.False, msgpcode.True:
		return 1, 0, true
	case msgpcode.Uint8, msgpcode.Int8:
		return 2, 0, true
	case msgpcode.Uint16, msgpcode.Int16, msgpcode.FixExt1:
		return 3, 0, true
	case msgpcode.FixExt2:
		return 4, 0, true
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return 5, 0, true
	case msgpcode.FixExt4:
		return 6, 0, true
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return 9, 0, true
	case msgpcode.FixExt8:
		return 10, 0, true
	case msgpcode.FixExt16:
		return 18, 0, true
	}
	length, width, ok := readLength(data)
	if !ok {
		return 0, 0, false
	}
	switch code {
	case msgpcode.Array16, msgpcode.Array32:
		return 1 + width, length, true
	case msgpcode.Map16, msgpcode.Map32:
		return 1 + width, 2 * length, true
	case msgpcode.Ext8, msgpcode.Ext16, msgpcode.Ext32:
		return 2 + width + length, 0, true
	}
	return 1 + width + length, 0, true
}

// readLength returns the length after the first byte of data, and how many bytes it takes.
func readLength(data []byte) (length, width uint64, ok bool) {
	switch data[0] {
	case msgpcode.Str8, msgpcode.Bin8, msgpcode.Ext8:
		width = 1
	case msgpcode.Str16, msgpcode.Bin16, msgpcode.Ext16, msgpcode.Array16, msgpcode.Map16:
		width = 2
	case msgpcode.Str32, msgpcode.Bin32, msgpcode.Ext32, msgpcode.Array32, msgpcode.Map32:
		width = 4
	}
	if width == 0 || uint64(len(data)) <= width {
		return 0, 0, false
	}
	var encoded [8]byte
	copy(encoded[8-width:], data[1:1+width])
	return binary.BigEndian.Uint64(encoded[:]), width, true
}
