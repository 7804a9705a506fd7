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

// Names of the files that 'keys' writes.
const (
	authorityFile    = "authority.pem"
	authorityKeyFile = "authority.key"
	secretFile       = "idempotency.secret"
	certificateExt   = ".pem"
	keyExt           = ".key"
)

const (
	// secretBytes is the length of a secret of idempotency keys.
	secretBytes = 32
	directory   = 0o700
	privateFile = 0o600
)

type keysCommands struct {
	Init  keysInitCommand  `cmd:"" help:"Make the firm's authority and the secret of idempotency keys."`
	Issue keysIssueCommand `cmd:"" help:"Make the certificate of an instance, or of all in a topology."`
	Check keysCheckCommand `cmd:"" help:"Check the keys that a settings file names."`
}

type keysInitCommand struct {
	Dir  string `help:"Directory for the files." required:"" placeholder:"DIR"`
	Firm string `help:"Name of the firm in the authority's certificate." required:"" placeholder:"NAME"`
}

// Run makes the authority. It never replaces one: that would cut off every
// instance.
func (c *keysInitCommand) Run(env *environment) error {
	if err := os.MkdirAll(c.Dir, directory); err != nil {
		return errs.Wrap(err)
	}
	files := []string{c.path(authorityFile), c.path(authorityKeyFile), c.path(secretFile)}
	for _, file := range files {
		if _, err := os.Lstat(file); err == nil {
			return errs.New("%s exists already", file)
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
	return errs.Wrap(os.WriteFile(file, []byte(line), privateFile))
}

type keysIssueCommand struct {
	Name     string   `arg:"" optional:"" help:"Declared name of the instance."`
	Dir      string   `help:"Directory with the authority, also for the new files." required:"" placeholder:"DIR"`
	Host     []string `help:"IP address or DNS name under which operators reach the instance; may be repeated." placeholder:"HOST"`
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

// certified is an instance that gets a certificate.
type certified struct {
	name  string
	hosts []string
}

func (c *keysIssueCommand) instances() ([]certified, error) {
	if c.Topology == "" {
		if c.Name == "" || len(c.Host) == 0 {
			return nil, usageError{errors.New("give NAME with --host, or --topology")}
		}
		return []certified{{c.Name, c.Host}}, nil
	}
	topology, err := settings.LoadTopology(c.Topology)
	if err != nil {
		return nil, err
	}
	var found []certified
	for _, instance := range topology.Instances() {
		if c.Name != "" && c.Name != instance.Name {
			continue
		}
		hosts := append([]string{hostOf(instance.Operators), hostOf(instance.Peers)}, c.Host...)
		found = append(found, certified{instance.Name, hosts})
	}
	if len(found) == 0 {
		return nil, errs.New("%s declares no instance %q", c.Topology, c.Name)
	}
	return found, nil
}

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

// checkKeys prints what is wrong with the keys, and fails when the instance
// cannot work with them.
func (e *environment) checkKeys(s *settings.Settings) error {
	findings := keyFindings(s)
	err := e.print(findings, func() error {
		for _, f := range findings {
			e.printf("%s\n", f)
		}
		if len(findings) == 0 {
			e.printf("the keys of %s are valid\n", s.Instance)
		}
		return nil
	})
	if err != nil {
		return err
	}
	return fatalFinding(s, findings)
}

// keyFindings returns what is wrong with the keys of an instance.
func keyFindings(s *settings.Settings) []pki.Finding {
	files := pki.Files{Authority: s.TLS.Authority, Certificate: s.TLS.Certificate, Key: s.TLS.Key}
	findings := pki.Check(files, s.Instance, time.Now())
	if findings == nil {
		return []pki.Finding{}
	}
	return findings
}

// fatalFinding returns an error when the instance cannot work with a finding.
func fatalFinding(s *settings.Settings, findings []pki.Finding) error {
	for _, f := range findings {
		if f.Fatal() {
			return errs.New("the keys of %s are not valid", s.Instance)
		}
	}
	return nil
}

// printFiles tells which files were written.
func (e *environment) printFiles(files []string) error {
	return e.print(files, func() error {
		for _, file := range files {
			e.printf("wrote %s\n", file)
		}
		return nil
	})
}
