package decoder_test

import (
	"bytes"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"marigoldhill/kernel/decoder"
)

// nested returns a map whose field of the given name has levels arrays in each other.
func nested(name string, levels int) []byte {
	data, _ := msgpack.Marshal(map[string]string{name: ""})
	data = append(data[:len(data)-1], bytes.Repeat([]byte{0x91}, levels)...)
	return append(data, 0xc0)
}

// Guards against a message that ends the process that reads it: the stack of the decoder
// grows with the nesting, also in fields that it skips.
func TestDeeplyNestedMessageIsRefused(t *testing.T) {
	var message struct{ Known any }
	for _, field := range []string{"Known", "Unknown"} {
		for _, levels := range []int{decoder.MaxDepth + 5000, 32 << 20} {
			err := decoder.Unmarshal(nested(field, levels), &message)
			qt.Check(t, err, qt.ErrorIs, decoder.ErrTooDeep, qt.Commentf("%s, %d levels", field, levels))
		}
		qt.Check(t, decoder.Unmarshal(nested(field, 50), &message), qt.IsNil)
	}
}

// Guards against a check that misreads a type and refuses, or lets pass, what follows it.
func TestAllTypesAreRead(t *testing.T) {
	values := []any{
		nil, true, 7, -7, uint8(200), int8(-100), uint16(40_000), int16(-30_000), uint32(math.MaxUint32), int32(math.MinInt32),
		uint64(math.MaxUint64), int64(math.MinInt64), float32(1.5), 1.5, "text", string(make([]byte, 40)), string(make([]byte, 300)), string(make([]byte, 70_000)),
		[]byte("data"), make([]byte, 300), make([]byte, 70_000), time.Unix(1, 0), time.Unix(1, 5), time.Unix(1<<40, 5),
		make([]int, 20), make([]int, 70_000), map[string]int{"a": 1}, map[string][]int{"a": {1}},
	}
	var deep any
	for range decoder.MaxDepth {
		deep = []any{deep}
	}
	for _, value := range values {
		var got any
		data, err := msgpack.Marshal([]any{value, make([]byte, 5000), 1})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, decoder.Unmarshal(data, &got), qt.IsNil, qt.Commentf("%T", value))
		data, err = msgpack.Marshal([]any{value, make([]byte, 5000), deep})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, decoder.Unmarshal(data, &got), qt.ErrorIs, decoder.ErrTooDeep, qt.Commentf("%T", value))
		for _, length := range []int{1, 2, len(data) / 2, len(data) - 1} {
			qt.Check(t, decoder.Unmarshal(data[:length], &got), qt.IsNotNil, qt.Commentf("%T, %d bytes", value, length))
		}
	}
}
