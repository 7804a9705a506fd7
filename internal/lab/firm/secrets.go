package firm

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"os"
	"path/filepath"
	"time"

	"sycamoreledge.example/internal/pki"
	"sycamoreledge.example/internal/settings"
)

// Names of the files with keys and credentials, relative to the run. They are
// those of the template settings.
const (
	tlsDir        = "tls"
	authorityFile = "authority.pem"
	keySecretFile = "key.secret"
	operatorsFile = "operators.yaml"
)

// secretBytes is the length of a key secret and of a token.
const secretBytes = 32

// operators are the operators of a run.
var operators = []string{"first", "second"}

// writeSecrets makes the authority with the certificates of all instances,
// the secret of the idempotency keys and the operators' tokens.
func writeSecrets(p *Plan) error {
	if err := writeCertificates(p); err != nil {
		return err
	}
	secret, err := randomHex()
	if err != nil {
		return err
	}
	if err := writeFile(p, keySecretFile, "run: "+secret+"\n"); err != nil {
		return err
	}
	return writeOperators(p)
}

// writeCertificates makes the files for mutual TLS.
func writeCertificates(p *Plan) error {
	dir := filepath.Join(p.Dir, tlsDir)
	if err := os.MkdirAll(dir, dirPerm); err != nil {
		return Error.Wrap(err)
	}
	now := time.Now()
	authority, err := pki.NewAuthority(p.Topology.Firm, now)
	if err != nil {
		return Error.Wrap(err)
	}
	p.Authority = filepath.Join(dir, authorityFile)
	if err := os.WriteFile(p.Authority, authority.Pair().Certificate, filePerm); err != nil {
		return Error.Wrap(err)
	}
	for _, e := range p.Entries {
		host, _, err := net.SplitHostPort(e.Operators)
		if err != nil {
			return Error.Wrap(err)
		}
		pair, err := authority.Issue(e.Name, []string{host}, now)
		if err != nil {
			return Error.Wrap(err)
		}
		if err := pair.Write(filepath.Join(dir, e.Name+".pem"), filepath.Join(dir, e.Name+".key")); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// writeOperators makes the operators' tokens and the file that checks them.
func writeOperators(p *Plan) error {
	var list []settings.Operator
	p.Tokens = map[string]string{}
	for _, name := range operators {
		token, err := randomHex()
		if err != nil {
			return err
		}
		sum := sha256.Sum256([]byte(token))
		list = append(list, settings.Operator{Name: name, TokenSHA256: hex.EncodeToString(sum[:])})
		p.Tokens[name] = token
		if err := writeClient(p, name, token); err != nil {
			return err
		}
	}
	return writeYAML(filepath.Join(p.Dir, operatorsFile), list)
}

// ClientSettings returns the file from which sycamoreledge's commands take the
// addresses and the credential of an operator.
func (p *Plan) ClientSettings(operator string) string {
	return filepath.Join(p.Dir, "client-"+operator+".yaml")
}

// writeClient writes the file of ClientSettings with its token.
func writeClient(p *Plan, operator, token string) error {
	file := struct {
		Endpoints []string `yaml:"endpoints"`
		Authority string   `yaml:"authority"`
		TokenFile string   `yaml:"token_file"`
	}{Authority: p.Authority, TokenFile: operator + ".token"}
	for _, e := range p.Entries {
		file.Endpoints = append(file.Endpoints, e.Operators)
	}
	if err := writeFile(p, file.TokenFile, token+"\n"); err != nil {
		return err
	}
	return writeYAML(p.ClientSettings(operator), file)
}

// writeFile stores a text in the directory of the run.
func writeFile(p *Plan, name, text string) error {
	return Error.Wrap(os.WriteFile(filepath.Join(p.Dir, name), []byte(text), filePerm))
}

// randomHex returns a random secret in hexadecimal digits.
func randomHex() (string, error) {
	b := make([]byte, secretBytes)
	if _, err := rand.Read(b); err != nil {
		return "", Error.Wrap(err)
	}
	return hex.EncodeToString(b), nil
}
