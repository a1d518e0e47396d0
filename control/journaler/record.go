package journaler

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"marigoldhill/control/elector"
	"marigoldhill/kernel/decoder"
)

// Record is one synced write in the log.
type Record struct {
	Save    *elector.HardState
	Entries []elector.Entry
}

// Layout of the record header: magic, payload length, sequence number, checksum
// of the payload, checksum of the preceding header fields.
const (
	recordMagic          = "MHR1"
	headerBytes          = 32
	lengthOffset         = 4
	sequenceOffset       = 8
	checksumOffset       = 16
	headerChecksumOffset = 24
	// maxPayloadBytes is the largest size of a payload.
	maxPayloadBytes = 1<<31 - 1
)

// encodeRecord encodes a value as the payload of a record.
func encodeRecord(sequence uint64, value any) ([]byte, error) {
	payload, err := msgpack.Marshal(value)
	if err != nil {
		return nil, Error.New("encoding a record: %w", err)
	}
	if len(payload) > maxPayloadBytes {
		return nil, Error.New("record of %d bytes is too large", len(payload))
	}
	data := make([]byte, headerBytes, headerBytes+len(payload))
	copy(data, recordMagic)
	binary.BigEndian.PutUint32(data[lengthOffset:], uint32(len(payload)))
	binary.BigEndian.PutUint64(data[sequenceOffset:], sequence)
	binary.BigEndian.PutUint64(data[checksumOffset:], xxhash.Sum64(payload))
	binary.BigEndian.PutUint64(data[headerChecksumOffset:], xxhash.Sum64(data[:headerChecksumOffset]))
	return append(data, payload...), nil
}

// parseRecord returns the sequence number and the payload of the record at the
// start of data, and whether the record is valid.
func parseRecord(data []byte) (sequence uint64, payload []byte, valid bool) {
	if len(data) < headerBytes || string(data[:len(recordMagic)]) != recordMagic {
		return 0, nil, false
	}
	if xxhash.Sum64(data[:headerChecksumOffset]) != binary.BigEndian.Uint64(data[headerChecksumOffset:]) {
		return 0, nil, false
	}
	length := int(binary.BigEndian.Uint32(data[lengthOffset:]))
	if len(data)-headerBytes < length {
		return 0, nil, false
	}
	payload = data[headerBytes : headerBytes+length]
	if xxhash.Sum64(payload) != binary.BigEndian.Uint64(data[checksumOffset:]) {
		return 0, nil, false
	}
	return binary.BigEndian.Uint64(data[sequenceOffset:]), payload, true
}

// Log is the content of a log file.
type Log struct {
	Records []Record
	// ValidBytes is the number of bytes in valid records. The rest is a torn last
	// record.
	ValidBytes int
}

// ReadLog parses the content of a log file. A bad record is considered torn if
// no valid record follows it. Otherwise the file was damaged after it was
// synced, and the error wraps ErrCorrupt.
func ReadLog(data []byte) (*Log, error) {
	log := &Log{}
	for log.ValidBytes < len(data) {
		rest := data[log.ValidBytes:]
		sequence, payload, valid := parseRecord(rest)
		if !valid {
			if offset, found := findRecord(rest); found {
				return nil, Error.New("%w: invalid record at byte %d, followed by a valid one at byte %d",
					ErrCorrupt, log.ValidBytes, log.ValidBytes+offset)
			}
			return log, nil
		}
		if sequence != uint64(len(log.Records))+1 {
			return nil, Error.New("%w: sequence number %d of the record at byte %d, expected %d",
				ErrCorrupt, sequence, log.ValidBytes, len(log.Records)+1)
		}
		var record Record
		if err := decoder.Unmarshal(payload, &record); err != nil {
			return nil, Error.New("%w: record at byte %d: %w", ErrCorrupt, log.ValidBytes, err)
		}
		log.Records = append(log.Records, record)
		log.ValidBytes += headerBytes + len(payload)
	}
	return log, nil
}

// findRecord searches data for a valid record after its first byte.
func findRecord(data []byte) (int, bool) {
	for offset := 1; offset < len(data); offset++ {
		next := bytes.Index(data[offset:], []byte(recordMagic))
		if next < 0 {
			return 0, false
		}
		offset += next
		if _, _, valid := parseRecord(data[offset:]); valid {
			return offset, true
		}
	}
	return 0, false
}
