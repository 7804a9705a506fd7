// Command sycamoreledge is the daemon of an instance and the operators' command-line
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

// environment holds the context, the standard streams and the output format of the
// process, as the commands use them.
type environment struct {
	ctx    context.Context
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
	output string
}

// exitRequest is the panic value with which kong's exit hook returns the exit code
// to run, for example after a help text was printed.
type exitRequest int

// run executes the command line and returns the exit code.
func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) (code int) {
	defer func() {
		recovered := recover()
		if recovered == nil {
			return
		}
		request, ok := recovered.(exitRequest)
		if !ok {
			panic(recovered)
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
