package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"strings"
)

// keySecretBytes is the length of a secret in bytes; a file holds it as 64
// hexadecimal digits.
const keySecretBytes = 32

// KeySecret is a secret with which issued idempotency keys are authenticated.
type KeySecret struct {
	ID     string
	Secret []byte
}

// LoadKeySecrets reads a file with lines of the form "id: secret", where the
// secret is 64 hexadecimal digits. The first secret signs new keys; all of them
// verify keys. Empty lines and lines that start with # are skipped.
func LoadKeySecrets(path string) ([]KeySecret, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	var secrets []KeySecret
	seen := make(map[string]bool)
	lineNumber := 0
	for line := range strings.Lines(string(data)) {
		lineNumber++
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		secret, message := parseKeySecret(line)
		if message == "" && seen[secret.ID] {
			message = fmt.Sprintf("id %s is listed twice", secret.ID)
		}
		if message != "" {
			return nil, Error.Wrap(&FileError{File: path, Line: lineNumber, Column: 1, Message: message})
		}
		seen[secret.ID] = true
		secrets = append(secrets, secret)
	}
	if len(secrets) == 0 {
		return nil, Error.Wrap(&FileError{File: path, Message: "the file must hold at least one secret"})
	}
	return secrets, nil
}

// parseKeySecret parses one line. For a malformed line it returns an error message,
// which never contains the secret.
func parseKeySecret(line string) (KeySecret, string) {
	id, text, ok := strings.Cut(line, ":")
	id = strings.TrimSpace(id)
	if !ok || id == "" {
		return KeySecret{}, "a line must have the form id: secret"
	}
	secret, err := hex.DecodeString(strings.TrimSpace(text))
	if err != nil || len(secret) != keySecretBytes {
		return KeySecret{}, fmt.Sprintf("the secret of %s must have 64 hexadecimal digits", id)
	}
	return KeySecret{ID: id, Secret: secret}, ""
}

// Operator is a person or program that is allowed to change the configuration.
type Operator struct {
	Name string `yaml:"name" validate:"required,max=64"`
	// TokenSHA256 is the SHA-256 digest of the bearer token in hexadecimal.
	TokenSHA256 string `yaml:"token_sha256" validate:"required,len=64,hexadecimal"`
}

// operatorList wraps the list because the validator accepts only structs.
type operatorList struct {
	Operators []Operator `yaml:"operators" validate:"required,dive"`
}

// LoadOperators reads a YAML list of operators.
func LoadOperators(path string) ([]Operator, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	var list []Operator
	doc, err := decodeStrict(path, data, &list)
	if err != nil {
		return nil, err
	}
	if err := doc.firstError(checkOperators(list)); err != nil {
		return nil, err
	}
	return list, nil
}

func checkOperators(list []Operator) problems {
	found := trimPathPrefix(checkTags(&operatorList{Operators: list}), "operators")
	names := make(map[string]bool)
	for i, o := range list {
		if names[o.Name] {
			found.addf(fmt.Sprintf("[%d].name", i), "operator %s is listed twice", o.Name)
		}
		names[o.Name] = true
	}
	return found
}

// trimPathPrefix removes the prefix from the paths of the problems.
func trimPathPrefix(found problems, prefix string) problems {
	for i := range found {
		found[i].Path = strings.TrimPrefix(found[i].Path, prefix)
	}
	return found
}

// FindOperator returns the name of the operator with the bearer token. It compares
// the digest with every entry in constant time, so that the time taken does not
// reveal whether or where there is a match.
func FindOperator(list []Operator, token string) (string, bool) {
	sum := sha256.Sum256([]byte(token))
	got := []byte(hex.EncodeToString(sum[:]))
	name, ok := "", false
	for _, o := range list {
		if subtle.ConstantTimeCompare(got, []byte(strings.ToLower(o.TokenSHA256))) == 1 {
			name, ok = o.Name, true
		}
	}
	return name, ok
}
