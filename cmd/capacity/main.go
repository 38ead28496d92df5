// Command capacity measures how the resource use of an instance grows with the
// size of the deployment. It writes the slopes and the figures computed from
// them for the target size.
package main

import (
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"time"

	"arbutusdock.example/arbutusdock/internal/capacity"
	"github.com/alexflint/go-arg"
	"github.com/rotisserie/eris"
)

// memoryLimit is the soft memory limit of the Go runtime, above which the
// garbage collector runs more often. A run needs about a tenth of it.
const memoryLimit = 6 << 30

type arguments struct {
	Out   string        `arg:"--out" default:"docs/capacity" help:"directory for the tables"`
	Page  string        `arg:"--page" default:"docs/CAPACITY.md" help:"page whose generated table is replaced"`
	Cores int           `arg:"--cores" default:"2" help:"GOMAXPROCS"`
	Limit time.Duration `arg:"--limit" default:"3m20s" help:"no measurement begins after this time"`
	From  string        `arg:"--from" help:"slopes.csv of an earlier run: computes target.md again without measuring"`
	Only  []string      `arg:"--only,separate" help:"start of the name of a measure to run, printed and not written; all when absent"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(&args); err != nil {
		slog.Error("capacity failed", "error", err)
		os.Exit(1)
	}
}

func run(args *arguments) error {
	runtime.GOMAXPROCS(max(args.Cores, 1))
	debug.SetMemoryLimit(memoryLimit)
	measures := capacity.All()
	if len(args.Only) > 0 {
		measures = selectMeasures(measures, args.Only)
		return capacity.WriteSlopes(os.Stdout, capacity.RunAll(measures, args.Limit))
	}
	if args.From != "" {
		return recompute(args)
	}
	results := capacity.RunAll(measures, args.Limit)
	if err := os.MkdirAll(args.Out, 0o755); err != nil {
		return eris.Wrap(err, "create output directory")
	}
	if err := writeFile(filepath.Join(args.Out, "slopes.csv"), results, capacity.WriteCSV); err != nil {
		return err
	}
	if err := writeFile(filepath.Join(args.Out, "slopes.md"), results, capacity.WriteSlopes); err != nil {
		return err
	}
	if err := writeTarget(args, results); err != nil {
		return err
	}
	return capacity.WriteTarget(os.Stdout, results)
}

func recompute(args *arguments) error {
	f, err := os.Open(args.From)
	if err != nil {
		return eris.Wrap(err, "open slopes")
	}
	defer f.Close()
	results, err := capacity.ReadCSV(f)
	if err != nil {
		return err
	}
	return writeTarget(args, results)
}

// writeTarget writes the figures at the target size to target.md and updates the
// table in the documentation page.
func writeTarget(args *arguments, results []capacity.Result) error {
	if err := writeFile(filepath.Join(args.Out, "target.md"), results, capacity.WriteTarget); err != nil {
		return err
	}
	page, err := os.ReadFile(args.Page)
	if err != nil {
		return eris.Wrap(err, "read page")
	}
	if page, err = capacity.UpdatePage(page, results); err != nil {
		return err
	}
	return eris.Wrap(os.WriteFile(args.Page, page, 0o644), "write page")
}

func selectMeasures(measures []capacity.Measure, prefixes []string) []capacity.Measure {
	var list []capacity.Measure
	for _, m := range measures {
		for _, p := range prefixes {
			if strings.HasPrefix(m.Name, p) {
				list = append(list, m)
				break
			}
		}
	}
	return list
}

func writeFile(path string, results []capacity.Result, encode func(io.Writer, []capacity.Result) error) error {
	f, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "create output file")
	}
	if err := encode(f, results); err != nil {
		f.Close()
		return eris.Wrapf(err, "write %s", path)
	}
	return eris.Wrapf(f.Close(), "close %s", path)
}
