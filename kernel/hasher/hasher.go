// Package hasher maps keys to shards and requests to fingerprints.
//
// # Usage
//
//	shard := hasher.Shard("door-17", 4096)
//	print := hasher.Fingerprint("findings", "door-17", "certificates", sum)
//
// All processes of a cluster must agree on these functions, so a change here is
// a change of the protocol version.
package hasher

import (
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// Shard returns the shard of key, in [0, shards). It panics when shards is 0.
func Shard(key string, shards uint32) uint32 {
	return uint32(xxhash.Sum64String(key) % uint64(shards))
}

// Sum returns the 64-bit xxhash of data.
func Sum(data []byte) uint64 {
	return xxhash.Sum64(data)
}

// Fingerprint identifies a request by service, key, route and the hash of its
// body. It is 16 lower-case hexadecimal digits.
func Fingerprint(service, key, route string, body uint64) string {
	digest := xxhash.New()
	for _, part := range []string{service, key, route} {
		// Writes to a digest never fail.
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	var tail [8]byte
	for i := range tail {
		tail[i] = byte(body >> (8 * i))
	}
	_, _ = digest.Write(tail[:])
	return hex.EncodeToString(digest.Sum(nil))
}
