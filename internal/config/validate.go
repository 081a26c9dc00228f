package config

import "strings"

const (
	// maxNameBytes bounds the length of names.
	maxNameBytes = 128
	// maxTextBytes bounds the length of descriptions, reasons and artifact names.
	maxTextBytes = 1024
	// maxListLength bounds the number of keys, tiers, client accounts and operations of an entity.
	maxListLength = 512
)

// checkName rejects names that are not valid as a URL path segment, as a metric label and in an
// audit line.
func checkName(entity, name string) error {
	return checkChars(entity, name, "._-:@")
}

// checkRouteName also allows "/", which model names contain.
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

// truncateText truncates text reported by a process. Such text is not rejected, since no operator
// could correct it.
func truncateText(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextBytes], "")
}
