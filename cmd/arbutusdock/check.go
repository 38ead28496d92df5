package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/settings"
)

// maxDocumentBytes is the size limit of a document on the platform.
const maxDocumentBytes = 1 << 20

type checkCommand struct {
	Kind  string   `arg:"--kind" default:"auto" help:"profile, service, settings or auto (from the keys of the file)"`
	Files []string `arg:"positional,required" help:"files to check; a document is named after its file" placeholder:"FILE"`
}

func (c *checkCommand) run(out io.Writer) error {
	faultyFiles := 0
	for _, file := range c.Files {
		faults, err := c.check(file)
		if err != nil {
			return err
		}
		for _, f := range faults {
			_, _ = fmt.Fprintf(out, "%s: %s\n", file, f)
		}
		if len(faults) > 0 {
			faultyFiles++
		} else {
			_, _ = fmt.Fprintf(out, "%s: no faults\n", file)
		}
	}
	if faultyFiles > 0 {
		return errReported
	}
	return nil
}

// check returns the faults in one file, one line each.
func (c *checkCommand) check(file string) ([]string, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "check: read file")
	}
	kind := c.Kind
	if kind == "auto" {
		kind = detectKind(data)
	}
	if kind != "settings" && len(data) > maxDocumentBytes {
		return []string{fmt.Sprintf("%d bytes, the platform holds at most %d", len(data), maxDocumentBytes)}, nil
	}
	name := strings.TrimSuffix(filepath.Base(file), ".toml")
	switch kind {
	case "settings":
		_, err = settings.Parse(data)
	case "service":
		_, err = config.ParseService(name, data)
	case "profile":
		_, err = config.ParseProfile(name, data)
	default:
		return nil, eris.Errorf("check: unknown kind %q, must be profile, service, settings or auto", kind)
	}
	return faultLines(err), nil
}

// detectKind returns the kind of a file, based on its top-level keys. For a file
// that is not valid TOML the result is irrelevant: every parser reports the same
// syntax error.
func detectKind(data []byte) string {
	var topLevel map[string]any
	_ = toml.Unmarshal(data, &topLevel)
	switch {
	case topLevel["instance"] != nil || topLevel["tls"] != nil || topLevel["platform"] != nil:
		return "settings"
	case topLevel["target"] != nil || topLevel["targets"] != nil || topLevel["profile"] != nil || topLevel["port"] != nil:
		return "service"
	}
	return "profile"
}

// faultLines formats err as one line for each fault that it contains.
func faultLines(err error) []string {
	var (
		faults      settings.Faults
		documentErr *config.DocumentError
	)
	switch {
	case err == nil:
		return nil
	case errors.As(err, &faults):
		lines := make([]string, len(faults))
		for i, f := range faults {
			lines[i] = f.Error()
		}
		return lines
	case errors.As(err, &documentErr):
		lines := make([]string, len(documentErr.Faults))
		for i, f := range documentErr.Faults {
			lines[i] = documentFault(f)
		}
		return lines
	}
	return []string{err.Error()}
}

func documentFault(f config.Fault) string {
	text := f.Problem
	if f.Key != "" {
		text = "key " + f.Key + ": " + text
	}
	if f.Line > 0 {
		text = fmt.Sprintf("line %d: %s", f.Line, text)
	}
	return text
}
