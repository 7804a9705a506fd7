package settings

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"strings"
)

// keySecretBytes is the length of a secret: 32 bytes, 64 hexadecimal digits.
const keySecretBytes = 32

// KeySecret authenticates issued idempotency keys.
type KeySecret struct {
	ID     string
	Secret []byte
}

// LoadKeySecrets reads a file with lines of the form "id: secret", with 64
// hexadecimal digits for a secret. The first is for issuing keys, all are for
// checking them. Empty lines and those that start with # are skipped.
func LoadKeySecrets(path string) ([]KeySecret, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	var secrets []KeySecret
	seen := make(map[string]bool)
	number := 0
	for line := range strings.Lines(string(data)) {
		number++
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		secret, message := parseKeySecret(line)
		if message == "" && seen[secret.ID] {
			message = fmt.Sprintf("id %s stands twice", secret.ID)
		}
		if message != "" {
			return nil, Error.Wrap(&FileError{File: path, Line: number, Column: 1, Message: message})
		}
		seen[secret.ID] = true
		secrets = append(secrets, secret)
	}
	if len(secrets) == 0 {
		return nil, Error.Wrap(&FileError{File: path, Message: "the file holds no secret"})
	}
	return secrets, nil
}

// parseKeySecret returns a message, without the secret, when the line is
// malformed.
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

// Operator is a person or program that may change the configuration.
type Operator struct {
	Name string `yaml:"name" validate:"required,max=64"`
	// TokenSHA256 is the SHA-256 of the bearer token in hexadecimal.
	TokenSHA256 string `yaml:"token_sha256" validate:"required,len=64,hexadecimal"`
}

// operatorList wraps the list so that its entries are validated.
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
	doc, err := parseList(path, data, &list)
	if err != nil {
		return nil, err
	}
	if err := doc.fail(checkOperators(list)); err != nil {
		return nil, err
	}
	return list, nil
}

func checkOperators(list []Operator) problems {
	found := trimPaths(checkTags(&operatorList{Operators: list}), "operators")
	names := make(map[string]bool)
	for i, o := range list {
		if names[o.Name] {
			found.addf(fmt.Sprintf("[%d].name", i), "operator %s stands twice", o.Name)
		}
		names[o.Name] = true
	}
	return found
}

// trimPaths makes the places relative to a list at the root of the file.
func trimPaths(found problems, prefix string) problems {
	for i := range found {
		found[i].Path = strings.TrimPrefix(found[i].Path, prefix)
	}
	return found
}

// FindOperator returns the name of the operator who holds the token. It takes
// the same time whether and where there is a match.
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
