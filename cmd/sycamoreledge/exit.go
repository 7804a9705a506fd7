package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"sycamoreledge.example/internal/api/wire"
	"sycamoreledge.example/internal/client"
)

// Exit codes of the process; exitCodeHelp documents them.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitRefused     = 3
	exitConflict    = 4
	exitUnreachable = 5
	exitNotInForce  = 6
)

// usageError is returned for an invalid command line.
type usageError struct{ error }

// notInForceError is returned for a change that was accepted, but is not yet in
// force at some reachable instances.
type notInForceError struct {
	version int64
	behind  []string
}

func (e *notInForceError) Error() string {
	return fmt.Sprintf("configuration version %d was accepted, but is not yet in force at %s", e.version, strings.Join(e.behind, ", "))
}

// changeError adds the operation id to the error of a failed change, so that the
// operator can repeat the change safely.
type changeError struct {
	error
	operation string
}

func (e *changeError) Unwrap() error { return e.error }

// report prints the error, if any, and returns its exit code.
func report(stderr io.Writer, err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(stderr, "sycamoreledge: %v\n", err)
	printHints(stderr, err)
	return exitCode(err)
}

func exitCode(err error) int {
	var usage usageError
	var behind *notInForceError
	var api *client.APIError
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &behind):
		return exitNotInForce
	case errors.As(err, &api):
		return exitCodeOfStatus(api.Status)
	case client.Unreachable.Has(err):
		return exitUnreachable
	default:
		return exitFailed
	}
}

func exitCodeOfStatus(status int) int {
	switch {
	case status == http.StatusConflict:
		return exitConflict
	case status >= http.StatusInternalServerError:
		return exitUnreachable
	default:
		return exitRefused
	}
}

// printHints prints what the operator can do about the error.
func printHints(stderr io.Writer, err error) {
	var usage usageError
	if errors.As(err, &usage) {
		fmt.Fprintln(stderr, "Run 'sycamoreledge --help' or 'sycamoreledge COMMAND --help'.")
	}
	var api *client.APIError
	if errors.As(err, &api) {
		printConflict(stderr, api)
	}
	var change *changeError
	if errors.As(err, &change) && mayHaveTakenEffect(err) {
		fmt.Fprintf(stderr, "The change may have taken effect. To find out, repeat the command with --operation %s.\n", change.operation)
	}
}

// mayHaveTakenEffect reports whether a failed change may be in force.
func mayHaveTakenEffect(err error) bool {
	var api *client.APIError
	if errors.As(err, &api) {
		return api.Answer.Code == wire.CodeUncertain
	}
	return client.Unreachable.Has(err)
}

func printConflict(stderr io.Writer, api *client.APIError) {
	conflict, ok := api.Conflict()
	if !ok {
		return
	}
	fmt.Fprintf(stderr, "The configuration is at version %d; the change was based on version %d.\n", conflict.Current, conflict.Base)
	for _, r := range conflict.Won {
		fmt.Fprintf(stderr, "  %s: operator %s: %s %s (operation %s)\n", formatTime(r.At), r.Operator, r.Action, r.Detail, r.Operation)
	}
	fmt.Fprintln(stderr, "Check 'sycamoreledge preset list', and repeat the command if the change is still needed.")
}
