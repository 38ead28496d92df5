// Command experiment compares scheduling policies in a deterministic model and
// writes a table (text and CSV) and a plot (SVG) for each experiment.
package main

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/experiment"
	"github.com/alexflint/go-arg"
	"github.com/alitto/pond/v2"
	"github.com/rotisserie/eris"
)

type arguments struct {
	Out   string   `arg:"--out" default:"docs/experiments" help:"directory for the results"`
	Seeds int      `arg:"--seeds" default:"5" help:"number of seeds, from 1"`
	Only  []string `arg:"--only,separate" help:"name of an experiment to run; all when absent"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(&args); err != nil {
		slog.Error("experiment failed", "error", err)
		os.Exit(1)
	}
}

func run(args *arguments) error {
	if err := os.MkdirAll(args.Out, 0o755); err != nil {
		return eris.Wrap(err, "create output directory")
	}
	pool := pond.NewPool(max(1, runtime.GOMAXPROCS(0)/2))
	defer pool.StopAndWait()
	var seeds []uint64
	for i := range max(args.Seeds, 1) {
		seeds = append(seeds, uint64(i+1))
	}
	for _, e := range experiment.All() {
		if len(args.Only) > 0 && !slices.Contains(args.Only, e.Name) {
			continue
		}
		begin := time.Now()
		r, err := e.Run(pool, seeds)
		if err != nil {
			return err
		}
		if err := saveResult(r, filepath.Join(args.Out, e.Name)); err != nil {
			return err
		}
		fmt.Println()
		if err := r.WriteText(os.Stdout); err != nil {
			return eris.Wrap(err, "print table")
		}
		slog.Info("experiment done", "name", e.Name, "seconds", time.Since(begin).Seconds())
	}
	return nil
}

func saveResult(r *experiment.Result, base string) error {
	if err := writeFile(base+".txt", r.WriteText); err != nil {
		return err
	}
	if err := writeFile(base+".csv", r.WriteCSV); err != nil {
		return err
	}
	return eris.Wrap(r.SavePlot(base+".svg"), "write plot")
}

func writeFile(path string, encode func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "create output file")
	}
	if err := encode(f); err != nil {
		f.Close()
		return eris.Wrapf(err, "write %s", path)
	}
	return eris.Wrapf(f.Close(), "close %s", path)
}
