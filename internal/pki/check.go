package pki

import (
	"crypto"
	"crypto/x509"
	"fmt"
	"os"
	"time"
)

// Problem classifies a Finding.
type Problem string

// The problems that Check finds.
const (
	Unreadable     Problem = "unreadable"
	Expired        Problem = "expired"
	NotYetValid    Problem = "not_yet_valid"
	ExpiresSoon    Problem = "expires_soon"
	WrongAuthority Problem = "wrong_authority"
	KeyMismatch    Problem = "key_mismatch"
	WrongName      Problem = "wrong_name"
	FileMode       Problem = "file_mode"
)

// SoonExpiring is the remaining validity below which Check warns.
const SoonExpiring = 30 * 24 * time.Hour

// othersMask are the permissions that a private key must not give.
const othersMask = 0o077

// Finding is one fault of the files of an instance.
type Finding struct {
	File    string  `json:"file"`
	Problem Problem `json:"problem"`
	Detail  string  `json:"detail"`
}

// Fatal reports whether an instance cannot work with the finding.
func (f Finding) Fatal() bool {
	return f.Problem != ExpiresSoon && f.Problem != FileMode
}

// String returns the finding in one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s", f.File, f.Problem, f.Detail)
}

// Check inspects the files of the instance with the given name. An empty name
// accepts any instance. It returns no findings for sound files.
func Check(files Files, name string, now time.Time) []Finding {
	c := checker{files: files, now: now}
	authorities := c.certificates(files.Authority)
	chain := c.certificates(files.Certificate)
	key := c.key()
	c.authorities(authorities)
	if len(chain) == 0 {
		return c.findings
	}
	c.validity(files.Certificate, chain[0])
	c.name(chain[0], name)
	c.chain(authorities, chain)
	if key != nil && !samePublicKey(chain[0], key) {
		c.add(files.Key, KeyMismatch, "the key does not belong to "+files.Certificate)
	}
	return c.findings
}

// checker collects findings.
type checker struct {
	files    Files
	now      time.Time
	findings []Finding
}

func (c *checker) add(file string, problem Problem, detail string) {
	c.findings = append(c.findings, Finding{File: file, Problem: problem, Detail: detail})
}

func (c *checker) certificates(file string) []*x509.Certificate {
	data, err := os.ReadFile(file)
	if err != nil {
		c.add(file, Unreadable, err.Error())
		return nil
	}
	certs, err := parseCertificates(data)
	if err != nil {
		c.add(file, Unreadable, err.Error())
		return nil
	}
	return certs
}

func (c *checker) key() crypto.Signer {
	data, err := os.ReadFile(c.files.Key)
	if err != nil {
		c.add(c.files.Key, Unreadable, err.Error())
		return nil
	}
	if info, err := os.Stat(c.files.Key); err == nil && info.Mode().Perm()&othersMask != 0 {
		c.add(c.files.Key, FileMode, fmt.Sprintf("mode %04o lets others read the key", info.Mode().Perm()))
	}
	key, err := parseKey(data)
	if err != nil {
		c.add(c.files.Key, Unreadable, err.Error())
		return nil
	}
	return key
}

// authorities warns of each authority that is not or not long valid.
func (c *checker) authorities(certs []*x509.Certificate) {
	for _, cert := range certs {
		if !cert.IsCA {
			c.add(c.files.Authority, WrongAuthority, cert.Subject.CommonName+" is not an authority")
			continue
		}
		c.validity(c.files.Authority, cert)
	}
}

func (c *checker) validity(file string, cert *x509.Certificate) {
	until := cert.NotAfter.UTC().Format(time.RFC3339)
	switch {
	case c.now.Before(cert.NotBefore):
		c.add(file, NotYetValid, "valid from "+cert.NotBefore.UTC().Format(time.RFC3339))
	case c.now.After(cert.NotAfter):
		c.add(file, Expired, "valid until "+until)
	case cert.NotAfter.Sub(c.now) < SoonExpiring:
		c.add(file, ExpiresSoon, "valid until "+until)
	}
}

func (c *checker) name(cert *x509.Certificate, want string) {
	name, err := InstanceName(cert)
	if err != nil {
		c.add(c.files.Certificate, WrongName, err.Error())
		return
	}
	if want != "" && name != want {
		c.add(c.files.Certificate, WrongName, fmt.Sprintf("issued to %q, not to %q", name, want))
	}
}

// chain checks the signature alone; validity has findings of its own.
func (c *checker) chain(authorities, chain []*x509.Certificate) {
	if len(authorities) == 0 {
		return
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         newPool(authorities),
		Intermediates: newPool(chain[1:]),
		CurrentTime:   clamp(c.now, chain[0], authorities),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		c.add(c.files.Certificate, WrongAuthority, err.Error())
	}
}

// clamp returns a time at which the certificate and its issuer were valid, so
// that an expired certificate of the right authority is told from one of a
// wrong authority.
func clamp(now time.Time, leaf *x509.Certificate, authorities []*x509.Certificate) time.Time {
	at := between(now, leaf.NotBefore, leaf.NotAfter)
	for _, authority := range authorities {
		if leaf.CheckSignatureFrom(authority) == nil {
			return between(at, authority.NotBefore, authority.NotAfter)
		}
	}
	return at
}

func between(t, from, to time.Time) time.Time {
	if t.Before(from) {
		return from
	}
	if t.After(to) {
		return to
	}
	return t
}

func newPool(certs []*x509.Certificate) *x509.CertPool {
	pool := x509.NewCertPool()
	for _, cert := range certs {
		pool.AddCert(cert)
	}
	return pool
}
