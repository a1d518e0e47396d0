package framer_test

import (
	"bytes"
	"errors"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/framer"
)

func TestRoundTrip(t *testing.T) {
	frames := []framer.Frame{
		{Type: framer.TypeOpen, Stream: 1, Sequence: 1 << 31, Payload: []byte{3}},
		{Type: framer.TypeData, Stream: 1 << 40, Payload: bytes.Repeat([]byte("x"), framer.MaxPayloadBytes)},
		{Type: framer.TypePing, Payload: []byte{}},
	}
	var buffer []byte
	for _, frame := range frames {
		buffer = framer.Append(buffer, frame)
	}
	reader := framer.NewReader(bytes.NewReader(buffer))
	for _, want := range frames {
		got, err := reader.Read()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.DeepEquals, want)
	}
	_, err := reader.Read()
	qt.Assert(t, err, qt.Equals, io.EOF)
}

func TestReadRejectsInvalidFrames(t *testing.T) {
	valid := framer.Append(nil, framer.Frame{Type: framer.TypeData, Stream: 1, Payload: []byte("abc")})
	tests := []struct {
		name string
		data []byte
		want error
	}{
		{name: "over-long", data: append([]byte{0xff, 0xff, 0xff, 0xff, 1}, make([]byte, framer.HeaderSize-5)...), want: framer.ErrOversize},
		{name: "unknown type", data: make([]byte, framer.HeaderSize), want: framer.ErrUnknownType},
		{name: "truncated header", data: valid[:5], want: io.ErrUnexpectedEOF},
		{name: "truncated payload", data: valid[:len(valid)-1], want: io.ErrUnexpectedEOF},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := framer.NewReader(bytes.NewReader(test.data)).Read()
			qt.Assert(t, errors.Is(err, test.want), qt.IsTrue, qt.Commentf("got %v", err))
		})
	}
}

// The frames read from arbitrary input must encode to a prefix of that input.
func FuzzRead(f *testing.F) {
	f.Add(framer.Append(nil, framer.Frame{Type: framer.TypeData, Stream: 1, Payload: []byte("abc")}))
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := framer.NewReader(bytes.NewReader(data))
		var encoded []byte
		for {
			frame, err := reader.Read()
			if err != nil {
				break
			}
			encoded = framer.Append(encoded, frame)
		}
		qt.Assert(t, bytes.HasPrefix(data, encoded), qt.IsTrue)
	})
}
