// Package prefix computes the hashes of a prompt's prefixes that are used for prefix
// affinity. Entries compute them and sidecars compare them to find cached prefixes without
// access to the prompt.
package prefix

import "github.com/cespare/xxhash/v2"

const (
	// BytesPerToken is the assumed average length of a token in bytes.
	BytesPerToken = 4
	// shortestPrefixTokens is the length, in tokens, of the shortest prefix that is hashed. Each
	// further prefix is twice as long.
	shortestPrefixTokens = 64
	// maxHashes bounds the number of hashes of one prompt.
	maxHashes = 9
	// scopeMultiplier is odd, so that the multiplication modulo 2^64 is a bijection and
	// distinct hashes stay distinct.
	scopeMultiplier = 0x9e3779b97f4a7c15
)

// LengthInTokens returns the length, in tokens, of the prefix whose hash has the given index in the
// result of Hashes.
func LengthInTokens(index int) uint32 { return shortestPrefixTokens << index }

// Hashes returns the hashes of a prompt's prefixes of 64, 128, 256, ... tokens, the shortest
// first. Each hash covers all bytes from the start of the prompt. It returns nil for a
// prompt that is shorter than the shortest prefix.
func Hashes(prompt []byte) []uint64 {
	if len(prompt) < shortestPrefixTokens*BytesPerToken {
		return nil
	}
	digest := xxhash.New()
	hashes := make([]uint64, 0, maxHashes)
	hashedBytes := 0
	for index := range maxHashes {
		end := int(LengthInTokens(index)) * BytesPerToken
		if end > len(prompt) {
			break
		}
		_, _ = digest.Write(prompt[hashedBytes:end])
		hashedBytes = end
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// Scoped returns the hashes combined with a scope, such as the version in whose cache they
// are looked up. Equal prefixes have different hashes in different scopes.
func Scoped(scope string, hashes []uint64) []uint64 {
	if len(hashes) == 0 {
		return nil
	}
	salt := xxhash.Sum64String(scope)
	scoped := make([]uint64, len(hashes))
	for i, hash := range hashes {
		scoped[i] = (hash ^ salt) * scopeMultiplier
	}
	return scoped
}
