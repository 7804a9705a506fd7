package platform

import "strings"

// maxKeyBytes is the largest length of a key.
const maxKeyBytes = 512

// CheckKey returns Invalid for a key that cannot name an object: it must be a
// path of non-empty segments of letters, digits and the characters -._~:@
// that is not relative.
func CheckKey(key string) error {
	if key == "" || len(key) > maxKeyBytes {
		return Invalid.New("a key must have 1 to %d bytes, not %d", maxKeyBytes, len(key))
	}
	for segment := range strings.SplitSeq(key, "/") {
		if segment == "" || segment == "." || segment == ".." {
			return Invalid.New("key %q has an empty or relative segment", key)
		}
		if i := strings.IndexFunc(segment, notInKey); i >= 0 {
			return Invalid.New("key %q has a character that is not permitted", key)
		}
	}
	return nil
}

func notInKey(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	default:
		return !strings.ContainsRune("-._~:@", r)
	}
}

func checkUpdate(key string, value []byte, version int64) error {
	if err := CheckKey(key); err != nil {
		return err
	}
	if len(value) > MaxValueBytes {
		return Invalid.New("the value of %s has %d bytes, the limit is %d", key, len(value), MaxValueBytes)
	}
	if version < 0 {
		return Invalid.New("version %d of %s is negative", version, key)
	}
	return nil
}
