//go:build review

package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	maxDuration = 115 * time.Second
)

var cases = map[string]func(l *lab, trouble bool) error{}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	record := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	var l *lab
	var err error
	for range 10 {
		if l, err = newLab(*root, *record, []string{"gnr-a", "gnr-b", "gnr-c"}); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		if l.free(4) {
			break
		}
		l.close()
		l = nil
	}
	if l == nil {
		fmt.Fprintln(os.Stderr, "no free loopback addresses")
		return exitNotRun
	}
	defer l.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	result := make(chan error, 1)
	go func() { result <- play(l, trouble) }()
	select {
	case err = <-result:
	case <-signals:
		err = fmt.Errorf("ended by a signal")
	case <-time.After(maxDuration):
		err = fmt.Errorf("not done after %s", maxDuration)
	}
	if err != nil {
		l.recordf("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	l.mu.Lock()
	broken := l.broken
	l.mu.Unlock()
	l.recordf("result  trouble=%v broken=%d", trouble, broken)
	fmt.Printf("trouble=%v broken=%d\n", trouble, broken)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
