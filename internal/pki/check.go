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

// ExpiryWarningPeriod is the remaining validity below which Check reports
// ExpiresSoon.
const ExpiryWarningPeriod = 30 * 24 * time.Hour

// groupAndOtherMask selects the permission bits that a private key file must not
// have.
const groupAndOtherMask = 0o077

// Finding is one problem with the files of an instance.
type Finding struct {
	File    string  `json:"file"`
	Problem Problem `json:"problem"`
	Detail  string  `json:"detail"`
}

// Fatal reports whether the problem keeps an instance from working.
func (f Finding) Fatal() bool {
	return f.Problem != ExpiresSoon && f.Problem != FileMode
}

// String returns the finding as one line of text.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s", f.File, f.Problem, f.Detail)
}

// Check inspects the files of the instance with the given name and returns the
// problems found, if any. An empty name accepts any instance name.
func Check(files Files, name string, now time.Time) []Finding {
	c := checker{files: files, now: now}
	authorities := c.readCertificates(files.Authority)
	chain := c.readCertificates(files.Certificate)
	key := c.readKey()
	c.checkAuthorities(authorities)
	if len(chain) == 0 {
		return c.findings
	}
	c.checkValidity(files.Certificate, chain[0])
	c.checkName(chain[0], name)
	c.checkChain(authorities, chain)
	if key != nil && !samePublicKey(chain[0], key) {
		c.add(files.Key, KeyMismatch, "the private key does not match "+files.Certificate)
	}
	return c.findings
}

// checker collects the findings of one Check.
type checker struct {
	files    Files
	now      time.Time
	findings []Finding
}

func (c *checker) add(file string, problem Problem, detail string) {
	c.findings = append(c.findings, Finding{File: file, Problem: problem, Detail: detail})
}

func (c *checker) readCertificates(file string) []*x509.Certificate {
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

func (c *checker) readKey() crypto.Signer {
	data, err := os.ReadFile(c.files.Key)
	if err != nil {
		c.add(c.files.Key, Unreadable, err.Error())
		return nil
	}
	if info, err := os.Stat(c.files.Key); err == nil && info.Mode().Perm()&groupAndOtherMask != 0 {
		c.add(c.files.Key, FileMode, fmt.Sprintf("mode %04o allows access by group or others, expected 0600 or stricter", info.Mode().Perm()))
	}
	key, err := parseKey(data)
	if err != nil {
		c.add(c.files.Key, Unreadable, err.Error())
		return nil
	}
	return key
}

// checkAuthorities reports certificates that are not CA certificates, and those
// that are not valid now or expire soon.
func (c *checker) checkAuthorities(certs []*x509.Certificate) {
	for _, cert := range certs {
		if !cert.IsCA {
			c.add(c.files.Authority, WrongAuthority, cert.Subject.CommonName+" is not a CA certificate")
			continue
		}
		c.checkValidity(c.files.Authority, cert)
	}
}

func (c *checker) checkValidity(file string, cert *x509.Certificate) {
	until := cert.NotAfter.UTC().Format(time.RFC3339)
	switch {
	case c.now.Before(cert.NotBefore):
		c.add(file, NotYetValid, "valid from "+cert.NotBefore.UTC().Format(time.RFC3339))
	case c.now.After(cert.NotAfter):
		c.add(file, Expired, "valid until "+until)
	case cert.NotAfter.Sub(c.now) < ExpiryWarningPeriod:
		c.add(file, ExpiresSoon, "valid until "+until)
	}
}

func (c *checker) checkName(cert *x509.Certificate, want string) {
	name, err := InstanceName(cert)
	if err != nil {
		c.add(c.files.Certificate, WrongName, err.Error())
		return
	}
	if want != "" && name != want {
		c.add(c.files.Certificate, WrongName, fmt.Sprintf("issued to instance %q, expected %q", name, want))
	}
}

// checkChain verifies the signatures only; checkValidity reports certificates
// outside their validity period.
func (c *checker) checkChain(authorities, chain []*x509.Certificate) {
	if len(authorities) == 0 {
		return
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         newCertPool(authorities),
		Intermediates: newCertPool(chain[1:]),
		CurrentTime:   verificationTime(c.now, chain[0], authorities),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		c.add(c.files.Certificate, WrongAuthority, err.Error())
	}
}

// verificationTime returns a time at which the certificate and its issuer were
// valid, so that an expired certificate of the right authority is distinguished
// from a certificate of a wrong authority.
func verificationTime(now time.Time, leaf *x509.Certificate, authorities []*x509.Certificate) time.Time {
	at := clampTime(now, leaf.NotBefore, leaf.NotAfter)
	for _, authority := range authorities {
		if leaf.CheckSignatureFrom(authority) == nil {
			return clampTime(at, authority.NotBefore, authority.NotAfter)
		}
	}
	return at
}

func clampTime(t, from, to time.Time) time.Time {
	if t.Before(from) {
		return from
	}
	if t.After(to) {
		return to
	}
	return t
}

func newCertPool(certs []*x509.Certificate) *x509.CertPool {
	pool := x509.NewCertPool()
	for _, cert := range certs {
		pool.AddCert(cert)
	}
	return pool
}
