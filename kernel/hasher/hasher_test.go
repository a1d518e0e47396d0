package hasher_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/hasher"
)

// All processes of a cluster must compute the same values. A change of these
// requires a new protocol version.
func TestProtocolValues(t *testing.T) {
	qt.Check(t, hasher.Shard("door-17", 4096), qt.Equals, uint32(3492))
	qt.Check(t, hasher.Fingerprint("findings", "door-17", "new", 7), qt.Equals, "2d8f54a655f5ef37")
}

// Moving a character to the next field, or another body hash, must change the
// fingerprint.
func TestFingerprintSeparatesFields(t *testing.T) {
	fingerprints := []string{
		hasher.Fingerprint("a", "b", "c", 1),
		hasher.Fingerprint("ab", "", "c", 1),
		hasher.Fingerprint("a", "bc", "", 1),
		hasher.Fingerprint("a", "b", "c", 2),
	}
	seen := make(map[string]bool)
	for _, print := range fingerprints {
		qt.Check(t, seen[print], qt.IsFalse)
		seen[print] = true
	}
}
