package journaler

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"marigoldhill/control/elector"
)

// Record is one synced write of the log.
type Record struct {
	Save    *elector.HardState
	Entries []elector.Entry
}

// The header of a record: magic, length of the payload, sequence number,
// checksum of the payload, checksum of the header before it.
const (
	magic        = "MHR1"
	headerLength = 32
	lengthAt     = 4
	sequenceAt   = 8
	sumAt        = 16
	headerSumAt  = 24
	// maxRecord is the largest payload in bytes.
	maxRecord = 1<<31 - 1
)

// encodeRecord encodes a value with the header of a record.
func encodeRecord(sequence uint64, value any) ([]byte, error) {
	payload, err := msgpack.Marshal(value)
	if err != nil {
		return nil, Error.New("encoding a record: %w", err)
	}
	if len(payload) > maxRecord {
		return nil, Error.New("record of %d bytes is too large", len(payload))
	}
	data := make([]byte, headerLength, headerLength+len(payload))
	copy(data, magic)
	binary.BigEndian.PutUint32(data[lengthAt:], uint32(len(payload)))
	binary.BigEndian.PutUint64(data[sequenceAt:], sequence)
	binary.BigEndian.PutUint64(data[sumAt:], xxhash.Sum64(payload))
	binary.BigEndian.PutUint64(data[headerSumAt:], xxhash.Sum64(data[:headerSumAt]))
	return append(data, payload...), nil
}

// splitRecord returns the payload of the record at the start of data, and
// whether it is whole.
func splitRecord(data []byte) (sequence uint64, payload []byte, whole bool) {
	if len(data) < headerLength || string(data[:len(magic)]) != magic {
		return 0, nil, false
	}
	if xxhash.Sum64(data[:headerSumAt]) != binary.BigEndian.Uint64(data[headerSumAt:]) {
		return 0, nil, false
	}
	length := int(binary.BigEndian.Uint32(data[lengthAt:]))
	if len(data)-headerLength < length {
		return 0, nil, false
	}
	payload = data[headerLength : headerLength+length]
	if xxhash.Sum64(payload) != binary.BigEndian.Uint64(data[sumAt:]) {
		return 0, nil, false
	}
	return binary.BigEndian.Uint64(data[sequenceAt:]), payload, true
}

// Log is the content of a log file.
type Log struct {
	Records []Record
	// Length is how many bytes are good; the rest is a torn last record.
	Length int
}

// ReadLog reads the content of a log file. A bad record is torn if nothing good
// stands after it; otherwise the file was damaged after it was synced, and the
// error wraps ErrCorrupt.
func ReadLog(data []byte) (*Log, error) {
	log := &Log{}
	for log.Length < len(data) {
		rest := data[log.Length:]
		sequence, payload, whole := splitRecord(rest)
		if !whole {
			if offset, found := findRecord(rest); found {
				return nil, Error.New("%w: bad record at byte %d, good one at byte %d",
					ErrCorrupt, log.Length, log.Length+offset)
			}
			return log, nil
		}
		if sequence != uint64(len(log.Records))+1 {
			return nil, Error.New("%w: record %d at byte %d, expected %d",
				ErrCorrupt, sequence, log.Length, len(log.Records)+1)
		}
		var record Record
		if err := msgpack.Unmarshal(payload, &record); err != nil {
			return nil, Error.New("%w: record at byte %d: %w", ErrCorrupt, log.Length, err)
		}
		log.Records = append(log.Records, record)
		log.Length += headerLength + len(payload)
	}
	return log, nil
}

// findRecord looks for a whole record in data after its first byte.
func findRecord(data []byte) (int, bool) {
	for offset := 1; offset < len(data); offset++ {
		next := bytes.Index(data[offset:], []byte(magic))
		if next < 0 {
			return 0, false
		}
		offset += next
		if _, _, whole := splitRecord(data[offset:]); whole {
			return offset, true
		}
	}
	return 0, false
}
