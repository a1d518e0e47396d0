package decoder

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// Elements returns the number of values in data at all levels. It stops at data that is not
// well-formed.
func Elements(data []byte) int {
	count := 0
	for len(data) > 0 {
		size, _, ok := readHead(data)
		if !ok || size > uint64(len(data)) {
			break
		}
		count++
		data = data[size:]
	}
	return count
}

// FirstString returns the first element of an array, which must be a string.
func FirstString(data []byte) (string, error) {
	decoder := msgpack.NewDecoder(bytes.NewReader(data))
	if _, err := decoder.DecodeArrayLen(); err != nil {
		return "", Error.New("decoding the length of an array: %w", err)
	}
	first, err := decoder.DecodeString()
	if err != nil {
		return "", Error.New("decoding the first element of an array: %w", err)
	}
	return first, nil
}
