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

// Exit codes of all commands.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitRefused  = 3
	exitUnknown  = 4
	exitConflict = 5
)

// command describes a subcommand.
type command struct {
	name    string
	args    string
	short   string
	long    string
	example string
	hidden  bool
	// minArgs and maxArgs bound the number of arguments; a negative maxArgs means no limit.
	minArgs int
	maxArgs int
	flags   func(flags *pflag.FlagSet)
	action  func(inv invocation) error
	subs    []command
}

// invocation is one call of a command, as passed to its action.
type invocation struct {
	ctx context.Context
	// force is done after the second stop signal.
	force   context.Context
	args    []string
	flags   *pflag.FlagSet
	out     io.Writer
	version string
}

// usageError is an error in the arguments or flags of a command.
type usageError struct {
	err error
}

// Error returns the message of the cause.
func (e *usageError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.err }

func commands() []command {
	return []command{
		cmdServe, cmdTry, cmdCatalogue, cmdSubmit, cmdStatus, cmdCancel, cmdResult,
		cmdOwners, cmdWorkers, cmdHosts, cmdDrain, cmdLoad, cmdMeasure, cmdExplain, cmdDelays, cmdWhere, cmdVersion, cmdDev,
	}
}

// Main runs the command given by args and returns the exit code.
func Main(version string, args []string) int {
	ctx, force, stop := stopContexts()
	defer stop()
	version = strings.TrimSpace(version)
	root := &cobra.Command{
		Use: "corianderdrift", Short: "A cluster scheduler for mixed workloads",
		SilenceErrors: true, SilenceUsage: true, Version: version,
		PersistentPreRunE: func(*cobra.Command, []string) error { return nil },
	}
	root.SetArgs(args)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &usageError{err} })
	for _, c := range commands() {
		root.AddCommand(c.cobraCommand(ctx, force, version))
	}
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintf(os.Stderr, "corianderdrift: %s\n", strings.ReplaceAll(err.Error(), "\n", "; "))
	}
	return exitCode(err)
}

// stopContexts returns a context that is cancelled by the first stop signal and one that is cancelled by the second.
func stopContexts() (ctx, force context.Context, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	force, cancelForce := context.WithCancel(context.Background())
	sigs := make(chan os.Signal, 2)
	signal.Notify(sigs, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-sigs
		cancel()
		<-sigs
		cancelForce()
	}()
	return ctx, force, func() {
		signal.Stop(sigs)
		cancel()
		cancelForce()
	}
}

func exitCode(err error) int {
	var usageErr *usageError
	var settingErr *conf.Error
	var fieldErr *entry.FieldError
	var respErr *responseError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usageErr), errors.As(err, &settingErr), errors.As(err, &fieldErr):
		return exitUsage
	case errors.As(err, &respErr):
		return respErr.exitCode()
	case strings.HasPrefix(err.Error(), "unknown command"):
		return exitUsage
	default:
		return exitFailed
	}
}

func (c command) cobraCommand(ctx, force context.Context, version string) *cobra.Command {
	use := c.name
	if c.args != "" {
		use += " " + c.args
	}
	cmd := &cobra.Command{Use: use, Short: c.short, Long: c.long, Example: c.example, Hidden: c.hidden}
	cmd.Args = func(_ *cobra.Command, args []string) error {
		if len(args) < c.minArgs || (c.maxArgs >= 0 && len(args) > c.maxArgs) {
			return &usageError{fmt.Errorf("%s: wrong number of arguments; usage: %s", c.name, use)}
		}
		return nil
	}
	if c.flags != nil {
		c.flags(cmd.Flags())
	}
	if c.action != nil {
		cmd.RunE = func(cmd *cobra.Command, args []string) error {
			return c.action(invocation{
				ctx: ctx, force: force, args: args, flags: cmd.Flags(), out: cmd.OutOrStdout(), version: version,
			})
		}
	}
	for _, sub := range c.subs {
		cmd.AddCommand(sub.cobraCommand(ctx, force, version))
	}
	return cmd
}
