package messenger_test

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"marigoldhill/kernel/messenger"
)

func TestCompactMessagesRoundTrip(t *testing.T) {
	delta := messenger.TableDelta{From: 3, To: 9, Shards: []messenger.ShardRow{
		{},
		{Service: "findings", Shard: 65_535, Phase: messenger.PhaseOwned, Owner: 1 << 40, Fence: 1<<64 - 1},
		{Service: "findings", Shard: 7, Phase: messenger.PhaseMoving, Owner: 3, Fence: 9, Next: 4},
		{Service: "findings", Shard: 8, Survivors: []uint64{1, 2}, Last: 1, Forgotten: true, ForgottenUntil: 1 << 41, Previous: 5},
	}}
	data, err := msgpack.Marshal(&delta)
	qt.Assert(t, err, qt.IsNil)
	var got messenger.TableDelta
	qt.Assert(t, msgpack.Unmarshal(data, &got), qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, delta)

	heartbeat := messenger.Heartbeat{Router: "r1", Loads: []messenger.ShardLoad{
		{Service: "findings", Shard: 1, Requests: 1 << 40, Busy: time.Hour},
		{},
	}}
	data, err = msgpack.Marshal(&heartbeat)
	qt.Assert(t, err, qt.IsNil)
	var gotHeartbeat messenger.Heartbeat
	qt.Assert(t, msgpack.Unmarshal(data, &gotHeartbeat), qt.IsNil)
	qt.Assert(t, gotHeartbeat, qt.DeepEquals, heartbeat)
}

func TestCompactDecoderRejectsInvalidData(t *testing.T) {
	tests := []struct {
		name string
		data []byte
	}{
		{name: "not an array", data: []byte{0x81, 0x01, 0x02}},
		{name: "truncated array", data: []byte{0x95, 0xa1}},
		{name: "wrong type", data: []byte{0x92, 0x01, 0x02}},
	}
	for _, test := range tests {
		var row messenger.ShardRow
		qt.Check(t, msgpack.Unmarshal(test.data, &row), qt.IsNotNil, qt.Commentf(test.name))
		var load messenger.ShardLoad
		qt.Check(t, msgpack.Unmarshal(test.data, &load), qt.IsNotNil, qt.Commentf(test.name))
	}
}

func TestDurationsAreTextInJSON(t *testing.T) {
	profile := messenger.Profile{Name: "lookup", Class: messenger.ClassInteractive, Deadline: 2 * time.Second, Share: 1}
	data, err := json.Marshal(profile)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(data), qt.Contains, `"deadline":"2s"`)
	var got messenger.Profile
	qt.Assert(t, json.Unmarshal(data, &got), qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, profile)

	service := messenger.Service{Name: "findings", Shards: 8, Retention: time.Minute}
	data, err = json.Marshal(service)
	qt.Assert(t, err, qt.IsNil)
	var gotService messenger.Service
	qt.Assert(t, json.Unmarshal(data, &gotService), qt.IsNil)
	qt.Assert(t, gotService, qt.DeepEquals, service)
	qt.Assert(t, json.Unmarshal([]byte(`{"retention":"soon"}`), &gotService), qt.IsNotNil)
}

func TestLargeDeltasAreCompressed(t *testing.T) {
	delta := messenger.TableDelta{Full: true, To: 1 << 20}
	for shard := range uint32(10_000) {
		delta.Shards = append(delta.Shards, messenger.ShardRow{
			Service: "findings", Shard: shard, Phase: messenger.PhaseOwned, Owner: uint64(shard % 900), Fence: 1 << 20,
		})
	}
	data, err := msgpack.Marshal(&delta)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(data) < 100_000, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
	var got messenger.TableDelta
	qt.Assert(t, msgpack.Unmarshal(data, &got), qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, delta)
	for _, length := range []int{0, 1, 4, 6, len(data) / 2, len(data) - 1} {
		qt.Check(t, msgpack.Unmarshal(data[:length], &got), qt.IsNotNil, qt.Commentf("truncated to %d bytes", length))
	}
}

// Messages are sent as arrays, and a process refuses one with another number of fields than
// it knows, so the fields of these messages must stay while two versions run together.
func TestMessagesKeepTheirFields(t *testing.T) {
	tests := []struct {
		message any
		fields  int
	}{
		{message: messenger.Heartbeat{}, fields: 28},
		{message: messenger.HeartbeatResponse{}, fields: 7},
		{message: messenger.Report{}, fields: 4},
		{message: messenger.ReportResponse{}, fields: 2},
		{message: messenger.QuarantineRow{}, fields: 6},
		{message: messenger.ServerRow{}, fields: 7},
		{message: messenger.ShardRef{}, fields: 3},
		{message: messenger.KeyLoad{}, fields: 3},
		{message: messenger.RangeRef{}, fields: 5},
		{message: messenger.RangeRow{}, fields: 9},
		{message: messenger.RangeLoad{}, fields: 3},
		{message: messenger.RangeLoadReport{}, fields: 6},
		{message: messenger.Relay{}, fields: 15},
		{message: messenger.RelayInvitation{}, fields: 1},
		{message: messenger.RelayResponse{}, fields: 9},
		{message: messenger.ServerWork{}, fields: 5},
		{message: messenger.Request{}, fields: 13},
		{message: messenger.Response{}, fields: 10},
		{message: messenger.Header{}, fields: 2},
	}
	for _, test := range tests {
		var data bytes.Buffer
		encoder := msgpack.NewEncoder(&data)
		encoder.UseArrayEncodedStructs(true)
		qt.Assert(t, encoder.Encode(test.message), qt.IsNil)
		count, err := msgpack.NewDecoder(&data).DecodeArrayLen()
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%T", test.message))
		qt.Check(t, count, qt.Equals, test.fields, qt.Commentf("%T", test.message))
	}
}

func TestRelayReplyCarriesAll(t *testing.T) {
	response := messenger.RelayResponse{ID: "7", Outcome: messenger.OutcomeDone, Leaving: true, Load: messenger.ServerWork{Slots: 6, Limit: 8.5, LimitWait: time.Second, Fraction: 0.25}}
	var data bytes.Buffer
	encoder := msgpack.NewEncoder(&data)
	encoder.UseArrayEncodedStructs(true)
	qt.Assert(t, encoder.Encode(messenger.NewRelayReply(&response)), qt.IsNil)
	// A later version may add fields, since the message is a map.
	var fields map[string]msgpack.RawMessage
	qt.Assert(t, msgpack.Unmarshal(data.Bytes(), &fields), qt.IsNil)
	fields["later"] = msgpack.RawMessage{0xc0}
	extended, err := msgpack.Marshal(fields)
	qt.Assert(t, err, qt.IsNil)
	var reply messenger.RelayReply
	qt.Assert(t, msgpack.Unmarshal(extended, &reply), qt.IsNil)
	got := reply.Unpack()
	qt.Assert(t, got.ID, qt.Equals, "7")
	qt.Assert(t, got.Leaving, qt.IsTrue)
	qt.Assert(t, got.Load, qt.Equals, response.Load)
	qt.Assert(t, new(messenger.RelayReply).Unpack(), qt.IsNil)
}
