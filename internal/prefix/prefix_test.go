package prefix

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestHashesIdentifySharedPrefixes checks that the hashes of two prompts are equal for exactly
// the prefixes that the prompts have in common.
func TestHashesIdentifySharedPrefixes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shared := rapid.IntRange(0, 20_000).Draw(t, "shared")
		prompt := func(last byte) []byte {
			text := make([]byte, shared+1+rapid.IntRange(0, 5000).Draw(t, "own"))
			text[shared] = last
			return text
		}
		a, b := Hashes(prompt(1)), Hashes(prompt(2))
		for i := range min(len(a), len(b)) {
			want := int(LengthInTokens(i))*BytesPerToken <= shared
			if (a[i] == b[i]) != want {
				t.Fatalf("prefix %d of prompts that share %d bytes: equal is %v", i, shared, a[i] == b[i])
			}
		}
	})
}

func TestScopesHaveDistinctHashes(t *testing.T) {
	hashes := Hashes(make([]byte, 4096))
	qt.Assert(t, hashes, qt.HasLen, 5)
	first, second := Scoped("model/v1", hashes), Scoped("model/v2", hashes)
	for i := range hashes {
		qt.Assert(t, first[i] == second[i], qt.IsFalse)
	}
	qt.Assert(t, Hashes(make([]byte, 255)), qt.HasLen, 0)
}
