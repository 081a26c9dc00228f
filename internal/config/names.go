package config

import "strings"

const (
	// maxNameBytes bounds the name of an entity.
	maxNameBytes = 128
	// maxTextBytes bounds a description, a reason or the name of an artifact.
	maxTextBytes = 1024
	// maxListLength bounds the keys, tiers and client accounts that an entity lists, and its operations.
	maxListLength = 512
)

// checkName refuses names that can't stand in a URL path segment, a metric
// label and an audit line alike.
func checkName(entity, name string) error {
	return checkChars(entity, name, "._-:@")
}

// checkRouteName allows what model names use: checkName's characters and "/".
func checkRouteName(entity, name string) error {
	return checkChars(entity, name, "._-:@/")
}

func checkChars(entity, name, extra string) error {
	if name == "" || len(name) > maxNameBytes {
		return invalid(entity, "a name has 1 to %d bytes", maxNameBytes)
	}
	for _, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && !strings.ContainsRune(extra, r) {
			return invalid(entity, "a name consists of letters, digits and %q", extra)
		}
	}
	return nil
}

func checkText(entity, field, text string) error {
	if len(text) > maxTextBytes {
		return invalid(entity, "its %s is over %d bytes", field, maxTextBytes)
	}
	return nil
}

func checkListLength(entity, what string, count int) error {
	if count > maxListLength {
		return invalid(entity, "it lists over %d %s", maxListLength, what)
	}
	return nil
}

// truncateText shortens what a process reports, which no operator could correct.
func truncateText(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextBytes], "")
}
