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

// The exit codes.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitRefused     = 3
	exitConflict    = 4
	exitUnreachable = 5
	exitNotInForce  = 6
)

// usageError is a fault of the command line.
type usageError struct{ error }

// notInForceError means that a change was accepted, and that some instances do
// not work by it yet.
type notInForceError struct {
	version int64
	behind  []string
}

func (e *notInForceError) Error() string {
	return fmt.Sprintf("version %d is accepted, but not yet in force at %s", e.version, strings.Join(e.behind, ", "))
}

// changeError adds the operation id to the failure of a change, so that it can
// be repeated safely.
type changeError struct {
	error
	operation string
}

func (e *changeError) Unwrap() error { return e.error }

// report prints an error and returns the exit code for it.
func report(stderr io.Writer, err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(stderr, "sycamoreledge: %v\n", err)
	printAdvice(stderr, err)
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

// printAdvice prints what the operator may do next.
func printAdvice(stderr io.Writer, err error) {
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
		fmt.Fprintf(stderr, "The change may have taken effect. Repeat the command with --operation %s to learn it.\n", change.operation)
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
	fmt.Fprintf(stderr, "The configuration has version %d; the change was made for version %d.\n", conflict.Current, conflict.Base)
	for _, r := range conflict.Won {
		fmt.Fprintf(stderr, "  %s: %s did %s %s (operation %s)\n", formatTime(r.At), r.Operator, r.Action, r.Detail, r.Operation)
	}
	fmt.Fprintln(stderr, "Look at 'sycamoreledge preset list' and decide again.")
}
