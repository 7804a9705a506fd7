// Command sycamoreledge is the daemon of an entry instance and the operators'
// client.
package main

import (
	"context"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

func main() {
	os.Exit(run(context.Background(), os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// environment is what a command may use of the process.
type environment struct {
	ctx    context.Context
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
	output string
}

// exitRequest carries the code with which the parser wants to exit, after it
// printed a help text.
type exitRequest int

// run executes the command line and returns the exit code.
func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) (code int) {
	defer func() {
		reason := recover()
		if reason == nil {
			return
		}
		request, ok := reason.(exitRequest)
		if !ok {
			panic(reason)
		}
		code = int(request)
	}()
	var cli commandLine
	parser, err := newParser(&cli, stdout, stderr)
	if err != nil {
		return report(stderr, err)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return report(stderr, usageError{err})
	}
	env := &environment{ctx: ctx, stdin: stdin, stdout: stdout, stderr: stderr, output: cli.Output}
	return report(stderr, parsed.Run(env))
}

func newParser(cli *commandLine, stdout, stderr io.Writer) (*kong.Kong, error) {
	return kong.New(cli,
		kong.Name("sycamoreledge"),
		kong.Description(description),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { panic(exitRequest(code)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true, FlagsLast: true}),
		kong.Help(helpWithExamples),
	)
}
