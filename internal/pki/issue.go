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

	// clockSkew predates certificates, for instances whose clock is behind.
	clockSkew = 5 * time.Minute

	serialBits = 128

	// fileMode is the permissions of written files.
	fileMode = 0o600

	typeCertificate = "CERTIFICATE"
	typeKey         = "PRIVATE KEY"
)

// Pair is a certificate with its private key, both in PEM.
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

// NewAuthority makes an authority for the firm that is valid from now for
// AuthorityLifetime.
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
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(AuthorityLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageCRLSign,
	}
	return sign(template, key)
}

// sign makes the self-signed certificate of an authority.
func sign(template *x509.Certificate, key *ecdsa.PrivateKey) (*Authority, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	pair, err := encode(der, key)
	if err != nil {
		return nil, err
	}
	return &Authority{certificate: cert, key: key, pair: pair}, nil
}

// ParseAuthority reads an authority with its key. Of several certificates in
// the file it takes the first that belongs to the key.
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
	return nil, Error.New("no authority certificate belongs to the key")
}

// Pair returns the authority's own certificate and key.
func (a *Authority) Pair() Pair { return a.pair }

// Issue makes a certificate for the declared instance that is valid from now
// for CertificateLifetime. Hosts are the IP addresses and DNS names under
// which operators reach it.
func (a *Authority) Issue(name string, hosts []string, now time.Time) (Pair, error) {
	if name == "" {
		return Pair{}, Error.New("an instance needs a name")
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
		NotBefore:    now.Add(-clockSkew),
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
	return encode(der, key)
}

// addHosts puts each distinct host into the certificate.
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

// Write stores the pair in two files that only their owner may read. Each file
// is replaced as a whole.
func (p Pair) Write(certificate, key string) error {
	if err := replaceFile(key, p.Key); err != nil {
		return err
	}
	return replaceFile(certificate, p.Certificate)
}

// replaceFile writes a file beside the old one and renames it.
func replaceFile(path string, data []byte) error {
	temporary := path + ".new"
	if err := os.Remove(temporary); err != nil && !os.IsNotExist(err) {
		return Error.Wrap(err)
	}
	if err := os.WriteFile(temporary, data, fileMode); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.Rename(temporary, path))
}

// newSerial returns a random certificate serial number.
func newSerial() (*big.Int, error) {
	limit := new(big.Int).Lsh(big.NewInt(1), serialBits)
	serial, err := rand.Int(rand.Reader, limit)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return serial, nil
}

// encode returns the certificate and its key in PEM.
func encode(der []byte, key *ecdsa.PrivateKey) (Pair, error) {
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, Error.Wrap(err)
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: typeCertificate, Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: typeKey, Bytes: private}),
	}, nil
}

// parseKey reads the first private key of a PEM file.
func parseKey(data []byte) (crypto.Signer, error) {
	block, _ := pem.Decode(data)
	if block == nil || block.Type != typeKey {
		return nil, Error.New("no private key in PEM form")
	}
	key, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	signer, ok := key.(crypto.Signer)
	if !ok {
		return nil, Error.New("private key cannot sign")
	}
	return signer, nil
}

// parseCertificates reads all certificates of a PEM file.
func parseCertificates(data []byte) ([]*x509.Certificate, error) {
	var certs []*x509.Certificate
	for {
		var block *pem.Block
		block, data = pem.Decode(data)
		if block == nil {
			break
		}
		if block.Type != typeCertificate {
			continue
		}
		cert, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		certs = append(certs, cert)
	}
	if len(certs) == 0 {
		return nil, Error.New("no certificate in PEM form")
	}
	return certs, nil
}

// samePublicKey reports whether the certificate belongs to the key.
func samePublicKey(cert *x509.Certificate, key crypto.Signer) bool {
	public, ok := cert.PublicKey.(interface{ Equal(crypto.PublicKey) bool })
	return ok && public.Equal(key.Public())
}
