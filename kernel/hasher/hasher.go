// Package hasher maps keys to shards and requests to fingerprints.
//
// # Usage
//
//	shard := hasher.Shard("door-17", 4096)
//	fingerprint := hasher.Fingerprint("findings", "door-17", "certificates", sum)
//
// All processes of a cluster must compute the same values, so any change to these
// functions requires a new protocol version.
package hasher

import (
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// Shard returns the shard of key, in the range [0, shards). It panics if shards
// is 0.
func Shard(key string, shards uint32) uint32 {
	return uint32(xxhash.Sum64String(key) % uint64(shards))
}

// Sum returns the 64-bit xxhash of data.
func Sum(data []byte) uint64 {
	return xxhash.Sum64(data)
}

// Fingerprint returns a hash of a request's service, key, route and body hash, as
// 16 lower-case hexadecimal digits.
func Fingerprint(service, key, route string, body uint64) string {
	digest := xxhash.New()
	for _, field := range []string{service, key, route} {
		// Writes to an xxhash digest never fail. The zero byte separates the
		// fields.
		_, _ = digest.WriteString(field)
		_, _ = digest.Write([]byte{0})
	}
	var bodyHash [8]byte
	for i := range bodyHash {
		bodyHash[i] = byte(body >> (8 * i))
	}
	_, _ = digest.Write(bodyHash[:])
	return hex.EncodeToString(digest.Sum(nil))
}
