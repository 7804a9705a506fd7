package main

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/pki"
	"sycamoreledge.example/internal/settings"
)

// Names and extensions of the files that the keys commands write.
const (
	authorityFile    = "authority.pem"
	authorityKeyFile = "authority.key"
	secretFile       = "idempotency.secret"
	certificateExt   = ".pem"
	keyExt           = ".key"
)

const (
	// secretBytes is the length of the secret for idempotency keys.
	secretBytes     = 32
	directoryMode   = 0o700
	privateFileMode = 0o600
)

type keysCommands struct {
	Init  keysInitCommand  `cmd:"" help:"Create the firm's certificate authority and the secret for idempotency keys."`
	Issue keysIssueCommand `cmd:"" help:"Issue the certificate of an instance, or of all instances in a topology."`
	Check keysCheckCommand `cmd:"" help:"Check the certificates and the key that a settings file refers to."`
}

type keysInitCommand struct {
	Dir  string `help:"Directory for the files." required:"" placeholder:"DIR"`
	Firm string `help:"Name of the firm in the authority's certificate." required:"" placeholder:"NAME"`
}

// Run creates the authority and the secret. It never replaces existing files: a
// new authority would invalidate the certificates of all instances.
func (c *keysInitCommand) Run(env *environment) error {
	if err := os.MkdirAll(c.Dir, directoryMode); err != nil {
		return errs.Wrap(err)
	}
	files := []string{c.path(authorityFile), c.path(authorityKeyFile), c.path(secretFile)}
	for _, file := range files {
		if _, err := os.Lstat(file); err == nil {
			return errs.New("%s already exists and is never replaced", file)
		}
	}
	authority, err := pki.NewAuthority(c.Firm, time.Now())
	if err != nil {
		return err
	}
	if err := authority.Pair().Write(c.path(authorityFile), c.path(authorityKeyFile)); err != nil {
		return err
	}
	if err := writeSecret(c.path(secretFile)); err != nil {
		return err
	}
	return env.printFiles(files)
}

func (c *keysInitCommand) path(name string) string { return filepath.Join(c.Dir, name) }

func writeSecret(file string) error {
	var secret [secretBytes]byte
	rand.Read(secret[:]) //nolint:errcheck // never fails
	line := "k1: " + hex.EncodeToString(secret[:]) + "\n"
	return errs.Wrap(os.WriteFile(file, []byte(line), privateFileMode))
}

type keysIssueCommand struct {
	Name     string   `arg:"" optional:"" help:"Declared name of the instance."`
	Dir      string   `help:"Directory of the authority's files; the new files are written there too." required:"" placeholder:"DIR"`
	Host     []string `help:"IP address or DNS name at which operators reach the instance; may be repeated." placeholder:"HOST"`
	Topology string   `help:"Issue for all instances of this topology file, or take the hosts of NAME from it." placeholder:"FILE"`
}

// Run issues certificates.
func (c *keysIssueCommand) Run(env *environment) error {
	instances, err := c.instances()
	if err != nil {
		return err
	}
	authority, err := c.authority()
	if err != nil {
		return err
	}
	var files []string
	for _, instance := range instances {
		pair, err := authority.Issue(instance.name, instance.hosts, time.Now())
		if err != nil {
			return err
		}
		certificate := filepath.Join(c.Dir, instance.name+certificateExt)
		key := filepath.Join(c.Dir, instance.name+keyExt)
		if err := pair.Write(certificate, key); err != nil {
			return err
		}
		files = append(files, certificate, key)
	}
	return env.printFiles(files)
}

// certificateRequest is an instance to issue a certificate for.
type certificateRequest struct {
	name  string
	hosts []string
}

// instances returns the instances that the flags select.
func (c *keysIssueCommand) instances() ([]certificateRequest, error) {
	if c.Topology == "" {
		if c.Name == "" || len(c.Host) == 0 {
			return nil, usageError{errors.New("no instance given: set NAME and --host, or --topology")}
		}
		return []certificateRequest{{c.Name, c.Host}}, nil
	}
	topology, err := settings.LoadTopology(c.Topology)
	if err != nil {
		return nil, err
	}
	var found []certificateRequest
	for _, instance := range topology.Instances() {
		if c.Name != "" && c.Name != instance.Name {
			continue
		}
		hosts := append([]string{hostOf(instance.Operators), hostOf(instance.Peers)}, c.Host...)
		found = append(found, certificateRequest{instance.Name, hosts})
	}
	if len(found) == 0 {
		return nil, errs.New("topology %s declares no instance %q", c.Topology, c.Name)
	}
	return found, nil
}

// hostOf returns the host of a HOST:PORT address, or "" if the address is invalid.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}

func (c *keysIssueCommand) authority() (*pki.Authority, error) {
	certificate, err := os.ReadFile(filepath.Join(c.Dir, authorityFile))
	if err != nil {
		return nil, errs.Wrap(err)
	}
	key, err := os.ReadFile(filepath.Join(c.Dir, authorityKeyFile))
	if err != nil {
		return nil, errs.Wrap(err)
	}
	return pki.ParseAuthority(pki.Pair{Certificate: certificate, Key: key})
}

type keysCheckCommand struct {
	File string `arg:"" help:"Settings file of the instance."`
}

// Run checks the keys of an instance.
func (c *keysCheckCommand) Run(env *environment) error {
	s, err := settings.Load(c.File)
	if err != nil {
		return err
	}
	return env.checkKeys(s)
}

// checkKeys prints the problems of the instance's keys. It returns an error if one
// of them keeps the instance from working.
func (e *environment) checkKeys(s *settings.Settings) error {
	findings := keyFindings(s)
	err := e.print(findings, func() error {
		for _, f := range findings {
			e.printf("%s\n", f)
		}
		if len(findings) == 0 {
			e.printf("the keys of instance %s are valid\n", s.Instance)
		}
		return nil
	})
	if err != nil {
		return err
	}
	return fatalError(s, findings)
}

// keyFindings returns the problems of the instance's keys; the result is never nil,
// so that its JSON form is an array.
func keyFindings(s *settings.Settings) []pki.Finding {
	files := pki.Files{Authority: s.TLS.Authority, Certificate: s.TLS.Certificate, Key: s.TLS.Key}
	findings := pki.Check(files, s.Instance, time.Now())
	if findings == nil {
		return []pki.Finding{}
	}
	return findings
}

// fatalError returns an error if one of the findings keeps the instance from
// working.
func fatalError(s *settings.Settings, findings []pki.Finding) error {
	for _, f := range findings {
		if f.Fatal() {
			return errs.New("the keys of instance %s are not valid", s.Instance)
		}
	}
	return nil
}

// printFiles prints the paths of the written files.
func (e *environment) printFiles(files []string) error {
	return e.print(files, func() error {
		for _, file := range files {
			e.printf("wrote %s\n", file)
		}
		return nil
	})
}
