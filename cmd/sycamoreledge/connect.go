package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/client"
)

// tokenVariable may hold the operator's token; there is no flag for it, since
// command lines are visible to other users of a machine.
const tokenVariable = "SYCAMORELEDGE_TOKEN"

// clientSettings is the operators' own settings file.
type clientSettings struct {
	Endpoints []string `yaml:"endpoints"`
	Authority string   `yaml:"authority"`
	TokenFile string   `yaml:"token_file"`
}

// client returns a client from the flags, which go before the settings file.
func (c *connection) client() (*client.Client, error) {
	file, err := readClientSettings(c.ClientSettings)
	if err != nil {
		return nil, err
	}
	if len(c.Endpoint) > 0 {
		file.Endpoints = c.Endpoint
	}
	if c.Authority != "" {
		file.Authority = c.Authority
	}
	if c.TokenFile != "" {
		file.TokenFile = c.TokenFile
	}
	if len(file.Endpoints) == 0 {
		return nil, usageError{errors.New("no instance is named: give --endpoint HOST:PORT or --client-settings FILE")}
	}
	token, err := readToken(file.TokenFile)
	if err != nil {
		return nil, err
	}
	return client.New(client.Options{
		Endpoints: file.Endpoints,
		Token:     token,
		CAFile:    file.Authority,
		Timeout:   c.Timeout,
	})
}

// readClientSettings reads the file, with its paths relative to it.
func readClientSettings(path string) (clientSettings, error) {
	var s clientSettings
	if path == "" {
		return s, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return s, errs.Wrap(err)
	}
	if err := yaml.UnmarshalWithOptions(data, &s, yaml.Strict()); err != nil {
		return s, errs.New("%s: %s", path, yaml.FormatError(err, false, true))
	}
	for _, file := range []*string{&s.Authority, &s.TokenFile} {
		if *file != "" && !filepath.IsAbs(*file) {
			*file = filepath.Join(filepath.Dir(path), *file)
		}
	}
	return s, nil
}

func readToken(file string) (string, error) {
	if token := os.Getenv(tokenVariable); token != "" {
		return token, nil
	}
	if file == "" {
		return "", usageError{errors.New("no credential: give --token-file FILE or set " + tokenVariable)}
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", errs.Wrap(err)
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		return "", errs.New("%s is empty", file)
	}
	return token, nil
}
