package platform

import "strings"

// maxKeyBytes is the maximum length of a key in bytes.
const maxKeyBytes = 512

// CheckKey returns Invalid unless the key is a path of 1 to maxKeyBytes bytes whose
// segments are not empty, not "." or "..", and consist of ASCII letters, digits and
// the characters -._~:@.
func CheckKey(key string) error {
	if key == "" || len(key) > maxKeyBytes {
		return Invalid.New("a key must have 1 to %d bytes, but it has %d", maxKeyBytes, len(key))
	}
	for segment := range strings.SplitSeq(key, "/") {
		if segment == "" || segment == "." || segment == ".." {
			return Invalid.New("key %q has an empty or relative segment", key)
		}
		if i := strings.IndexFunc(segment, isForbiddenInKey); i >= 0 {
			return Invalid.New("key %q has a character other than letters, digits and -._~:@", key)
		}
	}
	return nil
}

func isForbiddenInKey(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	default:
		return !strings.ContainsRune("-._~:@", r)
	}
}

func validateUpdate(key string, value []byte, version int64) error {
	if err := CheckKey(key); err != nil {
		return err
	}
	if len(value) > MaxValueBytes {
		return Invalid.New("the value of %s has %d bytes, more than the limit of %d", key, len(value), MaxValueBytes)
	}
	if version < 0 {
		return Invalid.New("version %d of %s must not be negative", version, key)
	}
	return nil
}
