package main

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/goccy/go-yaml"
	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/settings"
	"sycamoreledge.example/platform"
)

type settingsCommands struct {
	Check settingsCheckCommand `cmd:"" help:"Check a settings file and all files that it refers to."`
}

type settingsCheckCommand struct {
	File string `arg:"" help:"Settings file of an instance: YAML written by a firm, or TOML (.toml) written by the platform."`
}

// settingsSummary is the output for a valid settings file of a firm.
type settingsSummary struct {
	Instance  string `json:"instance"`
	Firm      string `json:"firm"`
	Preset    string `json:"preset"`
	Operators int    `json:"operators"`
}

// Run checks the settings and the keys.
func (c *settingsCheckCommand) Run(env *environment) error {
	if filepath.Ext(c.File) == ".toml" {
		return c.checkPlatformSettings(env)
	}
	bundle, err := settings.LoadBundle(c.File)
	if err != nil {
		return err
	}
	findings := keyFindings(bundle.Settings)
	for _, f := range findings {
		fmt.Fprintf(env.stderr, "%s\n", f)
	}
	if err := fatalError(bundle.Settings, findings); err != nil {
		return err
	}
	summary := settingsSummary{
		Instance:  bundle.Settings.Instance,
		Firm:      bundle.Topology.Firm,
		Preset:    bundle.Preset.Name,
		Operators: len(bundle.Operators),
	}
	return env.print(summary, func() error {
		env.printf("%s is valid: instance %s of %s, initial preset %s, %d operators\n",
			c.File, summary.Instance, summary.Firm, summary.Preset, summary.Operators)
		return nil
	})
}

// platformSummary is the output for a valid settings file of the platform.
type platformSummary struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	Zones    int    `json:"zones"`
	Store    string `json:"store"`
}

// checkPlatformSettings checks a settings file that the platform writes.
func (c *settingsCheckCommand) checkPlatformSettings(env *environment) error {
	loaded, err := platform.LoadSettings(c.File)
	if err != nil {
		return err
	}
	summary := platformSummary{
		Instance: loaded.Instance, Zone: loaded.Place.Zone, Region: loaded.Place.Region, Zones: len(loaded.Regions), Store: loaded.StoreAddress,
	}
	return env.print(summary, func() error {
		env.printf("%s is valid: instance %s in %s of %s, %d zones, store at %s\n",
			c.File, summary.Instance, summary.Zone, summary.Region, summary.Zones, summary.Store)
		return nil
	})
}

type operatorCommands struct {
	Add operatorAddCommand `cmd:"" help:"Create a token for an operator and add its digest to the credentials file."`
}

type operatorAddCommand struct {
	Name      string `arg:"" help:"Name of the operator, as recorded in audit records."`
	File      string `help:"Credentials file of the instances; created if it does not exist." required:"" placeholder:"FILE"`
	TokenFile string `help:"File for the token; without it the token is printed once." placeholder:"FILE"`
}

// tokenBytes is the length of a token before hexadecimal encoding.
const tokenBytes = 32

// Run adds an operator. Instances read the credentials file only at start-up.
func (c *operatorAddCommand) Run(env *environment) error {
	operators, err := readOperators(c.File)
	if err != nil {
		return err
	}
	for _, o := range operators {
		if o.Name == c.Name {
			return errs.New("%s already has an operator %s", c.File, c.Name)
		}
	}
	var secret [tokenBytes]byte
	rand.Read(secret[:]) //nolint:errcheck // never fails
	token := hex.EncodeToString(secret[:])
	sum := sha256.Sum256([]byte(token))
	operators = append(operators, settings.Operator{Name: c.Name, TokenSHA256: hex.EncodeToString(sum[:])})
	text, err := yaml.Marshal(operators)
	if err != nil {
		return errs.Wrap(err)
	}
	if err := c.writeToken(token); err != nil {
		return err
	}
	if err := os.WriteFile(c.File, text, privateFileMode); err != nil {
		return errs.Wrap(err)
	}
	return c.printAdded(env, token)
}

// readOperators returns the operators in the file, or none if the file does not
// exist.
func readOperators(file string) ([]settings.Operator, error) {
	if _, err := os.Stat(file); errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	return settings.LoadOperators(file)
}

// writeToken writes the token to a new file that only its owner can read. It
// returns an error if the file exists.
func (c *operatorAddCommand) writeToken(token string) error {
	if c.TokenFile == "" {
		return nil
	}
	file, err := os.OpenFile(c.TokenFile, os.O_WRONLY|os.O_CREATE|os.O_EXCL, privateFileMode)
	if err != nil {
		return errs.Wrap(err)
	}
	if _, err := file.WriteString(token + "\n"); err != nil {
		return errs.Combine(err, file.Close())
	}
	return errs.Wrap(file.Close())
}

// addedOperator is the output of 'operators add'.
type addedOperator struct {
	Name  string `json:"name"`
	File  string `json:"file"`
	Token string `json:"token,omitempty"`
}

func (c *operatorAddCommand) printAdded(env *environment, token string) error {
	added := addedOperator{Name: c.Name, File: c.File}
	if c.TokenFile == "" {
		added.Token = token
	}
	return env.print(added, func() error {
		env.printf("added %s to %s\n", added.Name, added.File)
		if added.Token != "" {
			env.printf("token (shown once): %s\n", added.Token)
		}
		return nil
	})
}
