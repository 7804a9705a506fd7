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

// tokenVariable is the environment variable with the operator's token. There is no
// flag for the token, because other users of the machine can see command lines.
const tokenVariable = "SYCAMORELEDGE_TOKEN"

// clientSettings is the settings file of the operators' client.
type clientSettings struct {
	Endpoints []string `yaml:"endpoints"`
	Authority string   `yaml:"authority"`
	TokenFile string   `yaml:"token_file"`
}

// client returns a client for the operators' API. Flags take precedence over the
// client settings file.
func (c *connectionFlags) client() (*client.Client, error) {
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
		return nil, usageError{errors.New("no endpoint given: set --endpoint HOST:PORT or --client-settings FILE")}
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

// readClientSettings reads the client settings file; an empty path gives empty
// settings. Relative paths in the file are resolved against its directory.
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

// readToken returns the token in the environment variable or, if that is not set,
// the contents of the file.
func readToken(file string) (string, error) {
	if token := os.Getenv(tokenVariable); token != "" {
		return token, nil
	}
	if file == "" {
		return "", usageError{errors.New("no operator token given: set --token-file FILE or the environment variable " + tokenVariable)}
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", errs.Wrap(err)
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		return "", errs.New("token file %s is empty", file)
	}
	return token, nil
}
