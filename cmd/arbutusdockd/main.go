// Command arbutusdockd runs one instance of the load balancer.
//
// Exit codes:
//
//	0  graceful shutdown complete
//	1  failure at run time, such as an address that is in use
//	2  wrong usage, or invalid settings or key files
//	3  terminated by a second signal during the graceful shutdown
//
// SIGTERM or SIGINT starts the graceful shutdown; a second one ends the process
// at once. SIGHUP reloads the settings file, of which only the log level takes
// effect without a restart.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"arbutusdock.example/arbutusdock/internal/daemon"
	"arbutusdock.example/arbutusdock/internal/forwarder"
	"arbutusdock.example/arbutusdock/internal/settings"
)

const (
	exitSuccess = iota
	exitFailed
	exitUsage
	exitForced
)

type arguments struct {
	Settings string `arg:"positional,required" help:"settings file (TOML), see docs/examples" placeholder:"SETTINGS"`
}

func (arguments) Description() string {
	return "arbutusdockd runs one entry instance of the arbutusdock layer-4 load balancer."
}

func (arguments) Epilogue() string {
	return "Exit codes: 0 graceful shutdown complete, 1 failure at run time, 2 wrong usage or settings, 3 terminated by a second signal."
}

func main() { os.Exit(run()) }

func run() int {
	// This must be the first step: until the handlers are registered, the signals
	// terminate the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	stops := make(chan os.Signal, 2)
	signal.Notify(stops, syscall.SIGTERM, os.Interrupt)
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "arbutusdockd"}, &a)
	if err != nil {
		return printError(exitFailed, err)
	}
	switch err := parser.Parse(os.Args[1:]); {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelp(os.Stdout)
		return exitSuccess
	case err != nil:
		return printError(exitUsage, err)
	}
	s, err := settings.Load(a.Settings)
	if err != nil {
		return printError(exitUsage, err)
	}
	if s.Passthrough != nil {
		f, err := forwarder.New(s, os.Stdout, os.Stderr)
		if err != nil {
			return printError(exitFailed, err)
		}
		return serve(f, hangups, stops)
	}
	d, err := daemon.New(s, os.Stdout, os.Stderr)
	if err != nil {
		if errors.Is(err, daemon.ErrKeyFiles) {
			return printError(exitUsage, err)
		}
		return printError(exitFailed, err)
	}
	return serve(d, hangups, stops)
}

// instance is a CoAP instance (daemon.Daemon) or a pass-through instance
// (forwarder.Forwarder).
type instance interface {
	Run(context.Context) error
	Stop()   // starts the graceful shutdown
	Reload() // reloads the settings file
}

// serve runs i until it has stopped, handles signals and returns the exit code.
func serve(i instance, hangups, stops <-chan os.Signal) int {
	go func() {
		for range hangups {
			i.Reload()
		}
	}()
	go func() {
		<-stops
		i.Stop()
		<-stops
		os.Exit(exitForced)
	}()
	if err := i.Run(context.Background()); err != nil {
		return printError(exitFailed, err)
	}
	return exitSuccess
}

// printError prints err to standard error, settings faults one per line, and
// returns code.
func printError(code int, err error) int {
	var faults settings.Faults
	if errors.As(err, &faults) {
		for _, f := range faults {
			fmt.Fprintln(os.Stderr, "arbutusdockd: settings:", f)
		}
		return code
	}
	fmt.Fprintln(os.Stderr, "arbutusdockd:", err)
	return code
}
