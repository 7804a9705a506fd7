package pki

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"os"
	"time"
)

const (
	// AuthorityLifetime is how long a new authority is valid.
	AuthorityLifetime = 10 * 365 * 24 * time.Hour
	// CertificateLifetime is how long a certificate of an instance is valid.
	CertificateLifetime = 365 * 24 * time.Hour

	// clockSkewAllowance predates the start of validity, so that instances
	// whose clock is slow accept a new certificate.
	clockSkewAllowance = 5 * time.Minute

	serialBits = 128

	// pemFileMode is the permissions of written files: read and write by the
	// owner only.
	pemFileMode = 0o600

	pemTypeCertificate = "CERTIFICATE"
	pemTypeKey         = "PRIVATE KEY"
)

// Pair is a certificate and its private key, both PEM-encoded.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// Authority signs the certificates of a firm's instances.
type Authority struct {
	certificate *x509.Certificate
	key         crypto.Signer
	pair        Pair
}

// NewAuthority creates a certificate authority for the firm that is valid from
// now for AuthorityLifetime.
func NewAuthority(firm string, now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	serial, err := newSerial()
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{Organization: []string{firm}, CommonName: firm + " authority"},
		NotBefore:             now.Add(-clockSkewAllowance),
		NotAfter:              now.Add(AuthorityLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
	}
	return selfSign(template, key)
}

// selfSign creates the self-signed certificate of an authority.
func selfSign(template *x509.Certificate, key *ecdsa.PrivateKey) (*Authority, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	pair, err := encodePEM(der, key)
	if err != nil {
		return nil, err
	}
	return &Authority{certificate: cert, key: key, pair: pair}, nil
}

// ParseAuthority parses an authority's certificate and private key. If the PEM
// data holds several certificates, the first CA certificate that matches the key
// is used.
func ParseAuthority(pair Pair) (*Authority, error) {
	key, err := parseKey(pair.Key)
	if err != nil {
		return nil, err
	}
	certs, err := parseCertificates(pair.Certificate)
	if err != nil {
		return nil, err
	}
	for _, cert := range certs {
		if cert.IsCA && samePublicKey(cert, key) {
			return &Authority{certificate: cert, key: key, pair: pair}, nil
		}
	}
	return nil, Error.New("no CA certificate in the file matches the authority's private key")
}

// Pair returns the authority's own certificate and key.
func (a *Authority) Pair() Pair { return a.pair }

// Issue creates a key and a certificate for the declared instance. The
// certificate is valid from now for CertificateLifetime. Hosts are the IP
// addresses and DNS names at which operators reach the instance.
func (a *Authority) Issue(name string, hosts []string, now time.Time) (Pair, error) {
	if name == "" {
		return Pair{}, Error.New("cannot issue a certificate: the instance name is empty")
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, Error.Wrap(err)
	}
	serial, err := newSerial()
	if err != nil {
		return Pair{}, err
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{Organization: a.certificate.Subject.Organization, CommonName: name},
		NotBefore:    now.Add(-clockSkewAllowance),
		NotAfter:     now.Add(CertificateLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		URIs:         []*url.URL{instanceURI(name)},
	}
	addHosts(template, hosts)
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return Pair{}, Error.Wrap(err)
	}
	return encodePEM(der, key)
}

// addHosts adds each distinct host to the subject alternative names.
func addHosts(template *x509.Certificate, hosts []string) {
	seen := make(map[string]bool, len(hosts))
	for _, host := range hosts {
		if host == "" || seen[host] {
			continue
		}
		seen[host] = true
		if ip := net.ParseIP(host); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
			continue
		}
		template.DNSNames = append(template.DNSNames, host)
	}
}

// Write stores the pair in two files that only their owner can read. Each file
// is replaced atomically.
func (p Pair) Write(certificate, key string) error {
	if err := replaceFile(key, p.Key); err != nil {
		return err
	}
	return replaceFile(certificate, p.Certificate)
}

// replaceFile writes a temporary file in the same directory and renames it to
// path.
func replaceFile(path string, data []byte) error {
	temporary := path + ".new"
	if err := os.Remove(temporary); err != nil && !os.IsNotExist(err) {
		return Error.Wrap(err)
	}
	if err := os.WriteFile(temporary, data, pemFileMode); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.Rename(temporary, path))
}

// newSerial returns a random certificate serial number of up to 128 bits.
func newSerial() (*big.Int, error) {
	limit := new(big.Int).Lsh(big.NewInt(1), serialBits)
	serial, err := rand.Int(rand.Reader, limit)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return serial, nil
}

// encodePEM returns the DER certificate and its key in PEM.
func encodePEM(der []byte, key *ecdsa.PrivateKey) (Pair, error) {
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, Error.Wrap(err)
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: pemTypeCertificate, Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: pemTypeKey, Bytes: private}),
	}, nil
}

// parseKey parses the private key in the first PEM block.
func parseKey(data []byte) (crypto.Signer, error) {
	block, _ := pem.Decode(data)
	if block == nil || block.Type != pemTypeKey {
		return nil, Error.New("no PKCS#8 private key in the first PEM block")
	}
	key, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	signer, ok := key.(crypto.Signer)
	if !ok {
		return nil, Error.New("the private key is of a type that cannot sign")
	}
	return signer, nil
}

// parseCertificates parses all certificates in PEM data and skips other blocks.
func parseCertificates(data []byte) ([]*x509.Certificate, error) {
	var certs []*x509.Certificate
	for {
		var block *pem.Block
		block, data = pem.Decode(data)
		if block == nil {
			break
		}
		if block.Type != pemTypeCertificate {
			continue
		}
		cert, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		certs = append(certs, cert)
	}
	if len(certs) == 0 {
		return nil, Error.New("no certificate found in PEM data")
	}
	return certs, nil
}

// samePublicKey reports whether the certificate was issued for the key.
func samePublicKey(cert *x509.Certificate, key crypto.Signer) bool {
	public, ok := cert.PublicKey.(interface{ Equal(crypto.PublicKey) bool })
	return ok && public.Equal(key.Public())
}
