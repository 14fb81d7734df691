package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/corianderdrift/corianderdrift/conf"
	"github.com/corianderdrift/corianderdrift/entry"
)

// The exit codes of all commands.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitRefused  = 3
	exitUnknown  = 4
	exitConflict = 5
)

// command is one subcommand.
type command struct {
	name    string
	args    string
	short   string
	long    string
	example string
	hidden  bool
	// least and most bound the number of arguments; most below 0 is no bound.
	least  int
	most   int
	flags  func(flags *pflag.FlagSet)
	action func(in call) error
	subs   []command
}

// call is what an action works with.
type call struct {
	ctx context.Context
	// hard is done when the user asks a second time to stop.
	hard    context.Context
	args    []string
	flags   *pflag.FlagSet
	out     io.Writer
	version string
}

// usageError is a mistake in how a command was called.
type usageError struct {
	err error
}

// Error returns the mistake.
func (e *usageError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.err }

func commands() []command {
	return []command{
		cmdServe, cmdTry, cmdCatalogue, cmdSubmit, cmdStatus, cmdCancel, cmdResult,
		cmdOwners, cmdWorkers, cmdHosts, cmdDrain, cmdLoad, cmdMeasure, cmdExplain, cmdVersion, cmdDev,
	}
}

// Main runs the command that args name and returns the exit code.
func Main(version string, args []string) int {
	ctx, hard, stop := signals()
	defer stop()
	version = strings.TrimSpace(version)
	root := &cobra.Command{
		Use: "corianderdrift", Short: "A cluster scheduler for unlike workloads",
		SilenceErrors: true, SilenceUsage: true, Version: version,
		PersistentPreRunE: func(*cobra.Command, []string) error { return nil },
	}
	root.SetArgs(args)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &usageError{err} })
	for _, c := range commands() {
		root.AddCommand(c.cobra(ctx, hard, version))
	}
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintf(os.Stderr, "corianderdrift: %s\n", strings.ReplaceAll(err.Error(), "\n", "; "))
	}
	return exitCode(err)
}

// signals returns a context that ends with the first signal to stop and one that ends with the second.
func signals() (ctx, hard context.Context, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	hard, cancelHard := context.WithCancel(context.Background())
	arrived := make(chan os.Signal, 2)
	signal.Notify(arrived, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-arrived
		cancel()
		<-arrived
		cancelHard()
	}()
	return ctx, hard, func() {
		signal.Stop(arrived)
		cancel()
		cancelHard()
	}
}

func exitCode(err error) int {
	var usage *usageError
	var setting *conf.Error
	var field *entry.FieldError
	var answer *answerError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage), errors.As(err, &setting), errors.As(err, &field):
		return exitUsage
	case errors.As(err, &answer):
		return answer.exitCode()
	case strings.HasPrefix(err.Error(), "unknown command"):
		return exitUsage
	default:
		return exitFailed
	}
}

func (c command) cobra(ctx, hard context.Context, version string) *cobra.Command {
	use := c.name
	if c.args != "" {
		use += " " + c.args
	}
	cmd := &cobra.Command{Use: use, Short: c.short, Long: c.long, Example: c.example, Hidden: c.hidden}
	cmd.Args = func(_ *cobra.Command, args []string) error {
		if len(args) < c.least || (c.most >= 0 && len(args) > c.most) {
			return &usageError{fmt.Errorf("%s: wrong number of arguments; usage: %s", c.name, use)}
		}
		return nil
	}
	if c.flags != nil {
		c.flags(cmd.Flags())
	}
	if c.action != nil {
		cmd.RunE = func(cmd *cobra.Command, args []string) error {
			return c.action(call{
				ctx: ctx, hard: hard, args: args, flags: cmd.Flags(), out: cmd.OutOrStdout(), version: version,
			})
		}
	}
	for _, sub := range c.subs {
		cmd.AddCommand(sub.cobra(ctx, hard, version))
	}
	return cmd
}
