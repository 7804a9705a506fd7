package main

import (
	"os"

	"github.com/zeebo/errs"

	"sycamoreledge.example/internal/explain"
)

type explainCommand struct {
	Request string   `help:"Id of the request." required:"" placeholder:"ID"`
	Files   []string `arg:"" optional:"" help:"Log files of instances; standard input if none is given."`
}

// Run prints the log lines of a request from all given logs in chronological order.
func (c *explainCommand) Run(env *environment) error {
	var lines []explain.Line
	if len(c.Files) == 0 {
		found, err := explain.Find(env.stdin, "", c.Request)
		if err != nil {
			return err
		}
		lines = found
	}
	for _, name := range c.Files {
		found, err := findInFile(name, c.Request)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return errs.New("no log line found for request %s: its lines may have been rate-limited (see \"suppressed\" in the log), or another instance served it", c.Request)
	}
	explain.Sort(lines)
	return env.print(lines, func() error { return explain.Write(env.stdout, lines) })
}

func findInFile(name, request string) ([]explain.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	defer func() { _ = file.Close() }()
	return explain.Find(file, name, request)
}
