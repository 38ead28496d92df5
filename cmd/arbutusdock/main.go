// Command arbutusdock is the command line tool for operators. It validates
// documents and settings, shows the state of instances, explains where a request
// would be sent, compares a new division of capacity between partners with the
// present one and creates key files. It does not publish documents.
//
// Exit codes:
//
//	0  success
//	1  a checked file has faults, or the operation failed
//	2  wrong usage
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alexflint/go-arg"
)

const (
	exitSuccess = iota
	exitFailed
	exitUsage
)

// errReported is returned when all faults have already been printed.
var errReported = errors.New("faults reported")

type arguments struct {
	Check   *checkCommand   `arg:"subcommand:check" help:"print each fault of profile, service or settings files with its line"`
	Show    *showCommand    `arg:"subcommand:show" help:"show what instances believe"`
	Explain *explainCommand `arg:"subcommand:explain" help:"tell where a request would go and why"`
	DryRun  *dryRunCommand  `arg:"subcommand:dryrun" help:"compare a new split with the present one under the present demand"`
	Keys    *keysCommand    `arg:"subcommand:keys" help:"create the fleet CA, instance certificates and admission keys"`
}

func (arguments) Description() string {
	return "arbutusdock is the operators' tool of the arbutusdock layer-4 load balancer. It publishes nothing."
}

func (arguments) Epilogue() string {
	return "Exit codes: 0 success, 1 faults found or failure, 2 wrong usage."
}

// command is implemented by each subcommand.
type command interface{ run(out io.Writer) error }

func (a *arguments) command() command {
	switch {
	case a.Check != nil:
		return a.Check
	case a.Show != nil:
		return a.Show
	case a.Explain != nil:
		return a.Explain
	case a.DryRun != nil:
		return a.DryRun
	case a.Keys != nil:
		return a.Keys
	}
	return nil
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errOut io.Writer) int {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "arbutusdock"}, &a)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "arbutusdock:", err)
		return exitFailed
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		return exitSuccess
	case err == nil && a.command() == nil:
		err = errors.New("missing subcommand")
	}
	if err != nil {
		_ = parser.WriteUsageForSubcommand(errOut, parser.SubcommandNames()...)
		_, _ = fmt.Fprintln(errOut, "arbutusdock:", err)
		return exitUsage
	}
	if err := a.command().run(out); err != nil {
		if !errors.Is(err, errReported) {
			_, _ = fmt.Fprintln(errOut, "arbutusdock:", err)
		}
		return exitFailed
	}
	return exitSuccess
}
