package hasher_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/hasher"
)

// TestProtocolValues holds values that all processes of a cluster must agree
// on: a change of them is a change of the protocol version.
func TestProtocolValues(t *testing.T) {
	qt.Check(t, hasher.Shard("door-17", 4096), qt.Equals, uint32(3492))
	qt.Check(t, hasher.Fingerprint("findings", "door-17", "new", 7), qt.Equals, "2d8f54a655f5ef37")
}

func TestFingerprintTellsPartsApart(t *testing.T) {
	prints := []string{
		hasher.Fingerprint("a", "b", "c", 1),
		hasher.Fingerprint("ab", "", "c", 1),
		hasher.Fingerprint("a", "bc", "", 1),
		hasher.Fingerprint("a", "b", "c", 2),
	}
	seen := make(map[string]bool)
	for _, print := range prints {
		qt.Check(t, seen[print], qt.IsFalse)
		seen[print] = true
	}
}
