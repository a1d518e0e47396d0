package messenger

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// A message can contain thousands of shard rows and loads, so these two types are
// encoded as arrays without field names, with integers in their shortest form. A
// field can be added at the end: a decoder skips elements beyond its last
// field, and elements that the encoder leaves out are decoded as zero.

const (
	// shardRowFields is the number of fields of an encoded ShardRow, shortRowFields
	// the number of fields of a row whose later fields are all zero.
	shardRowFields  = 11
	shortRowFields  = 5
	shardLoadFields = 4
)

var (
	_ msgpack.CustomEncoder = ShardRow{}
	_ msgpack.CustomDecoder = (*ShardRow)(nil)
	_ msgpack.CustomEncoder = ShardLoad{}
	_ msgpack.CustomDecoder = (*ShardLoad)(nil)
)

// EncodeMsgpack implements [msgpack.CustomEncoder].
func (r ShardRow) EncodeMsgpack(encoder *msgpack.Encoder) error {
	fields := shardRowFields
	if r.isShort() {
		fields = shortRowFields
	}
	values := []any{
		r.Service, uint64(r.Shard), uint64(r.Phase), r.Owner, r.Fence,
		r.Next, r.Survivors, r.Forgotten, uint64(r.ForgottenUntil), r.Previous, r.Last,
	}
	return encodeArray(encoder, values[:fields])
}

// isShort reports whether all fields after the first shortRowFields are zero.
func (r *ShardRow) isShort() bool {
	return r.Next == 0 && len(r.Survivors) == 0 && !r.Forgotten && r.ForgottenUntil == 0 &&
		r.Previous == 0 && r.Last == 0
}

// DecodeMsgpack implements [msgpack.CustomDecoder].
func (r *ShardRow) DecodeMsgpack(decoder *msgpack.Decoder) error {
	*r = ShardRow{}
	var shard, phase, until uint64
	err := decodeArray(decoder, []any{
		&r.Service, &shard, &phase, &r.Owner, &r.Fence,
		&r.Next, &r.Survivors, &r.Forgotten, &until, &r.Previous, &r.Last,
	})
	if err != nil {
		return fmt.Errorf("decoding a shard row: %w", err)
	}
	r.Shard = uint32(shard)
	r.Phase = Phase(phase)
	r.ForgottenUntil = int64(until)
	return nil
}

// EncodeMsgpack implements [msgpack.CustomEncoder]. Busy is rounded to
// microseconds.
func (l ShardLoad) EncodeMsgpack(encoder *msgpack.Encoder) error {
	return encodeArray(encoder, []any{l.Service, uint64(l.Shard), l.Requests, uint64(l.Busy.Microseconds())})
}

// DecodeMsgpack implements [msgpack.CustomDecoder].
func (l *ShardLoad) DecodeMsgpack(decoder *msgpack.Decoder) error {
	var shard, busy uint64
	if err := decodeArray(decoder, []any{&l.Service, &shard, &l.Requests, &busy}); err != nil {
		return fmt.Errorf("decoding a shard load: %w", err)
	}
	l.Shard = uint32(shard)
	l.Busy = time.Duration(busy) * time.Microsecond
	return nil
}

// encodeArray encodes values as an array, with integers in their shortest form.
func encodeArray(encoder *msgpack.Encoder, values []any) error {
	if err := encoder.EncodeArrayLen(len(values)); err != nil {
		return err
	}
	for _, value := range values {
		if err := encodeValue(encoder, value); err != nil {
			return err
		}
	}
	return nil
}

func encodeValue(encoder *msgpack.Encoder, value any) error {
	switch typed := value.(type) {
	case uint64:
		return encoder.EncodeUint(typed)
	case string:
		return encoder.EncodeString(typed)
	}
	return encoder.Encode(value)
}

// decodeArray decodes an array into targets and skips the elements beyond them.
// Targets without an element keep their value.
func decodeArray(decoder *msgpack.Decoder, targets []any) error {
	length, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	for n := range length {
		if n >= len(targets) {
			err = decoder.Skip()
		} else {
			err = decodeValue(decoder, targets[n])
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func decodeValue(decoder *msgpack.Decoder, target any) error {
	var err error
	switch typed := target.(type) {
	case *uint64:
		*typed, err = decoder.DecodeUint64()
	case *string:
		*typed, err = decoder.DecodeString()
	default:
		err = decoder.Decode(target)
	}
	return err
}
