// Package cwcommand implements the command lines of the programs cicadawalk,
// cicadaload and cicadasoak with cobra.
//
// A command validates its flags before it does anything. Most use checkSettings, which
// also reads environment variables and reports all invalid values at once; the serve
// command takes its settings from the platform's settings file instead. A failure
// carries its exit code in an ExitError; Main runs a command and returns that code.
package cwcommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Version is the version that --version prints.
const Version = "0.1.0"

// Exit codes of the programs.
const (
	// ExitOK means success.
	ExitOK = 0
	// ExitFailed means that the command ran and failed, or that a consistency
	// guarantee was violated.
	ExitFailed = 1
	// ExitUsage means that a flag, setting or file is invalid; nothing was done.
	ExitUsage = 2
	// ExitConflict means that the catalogue was changed concurrently; nothing was
	// done.
	ExitConflict = 3
	// ExitActionRequired means that the status command found a problem that an operator
	// has to resolve.
	ExitActionRequired = 4
)

// ExitError is a failure with the exit code of the process.
type ExitError struct {
	Code int
	Err  error
}

func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// Main runs a command and returns its exit code: Code of an ExitError, ExitFailed
// for any other error. SIGINT and SIGTERM cancel the command's context; the error
// is printed to standard error.
func Main(root *cobra.Command) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, err)
	var ee *ExitError
	if errors.As(err, &ee) {
		return ee.Code
	}
	return ExitFailed
}

// ignoreSignals makes a proxy outlive the signals that would end it at once, in the middle of
// statements: SIGHUP, which a terminal sends as well, and SIGPIPE, when nobody reads its log
// any more.
func ignoreSignals() { signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE) }

// RootCommand returns the root command of the program cicadawalk.
func RootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "cicadawalk",
		Short: "A database proxy with session consistency",
		Long: `cicadawalk is a proxy between callers and groups of replicated databases. Every
caller reads its own writes, no acknowledged record is lost or duplicated, and a
failed primary is replaced automatically.

Exit codes: 0 success; 1 the command failed; 2 a flag, setting or file is
invalid; 3 the catalogue was changed concurrently; 4 status found a problem that
an operator has to resolve.`,
		Version:       Version,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return &ExitError{Code: ExitUsage, Err: err}
	})
	root.AddCommand(proxyCommand(), serveCommand(), explainCommand(), lossesCommand(), catalogueCommand(), stopCommand(), statusCommand(), demoCommand())
	return root
}

// eventWriter returns where a command writes log lines: standard error if verbose,
// else nowhere.
func eventWriter(cmd *cobra.Command, verbose bool) io.Writer {
	if verbose {
		return cmd.ErrOrStderr()
	}
	return io.Discard
}
