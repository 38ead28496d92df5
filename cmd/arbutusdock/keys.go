package main

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/keys"
)

const day = 24 * time.Hour

type keysCommand struct {
	CA        *caCommand        `arg:"subcommand:ca" help:"create the fleet CA: ca.crt and ca.key"`
	Instance  *instanceCommand  `arg:"subcommand:instance" help:"create the certificate and key of instances: ID.crt and ID.key"`
	Admission *admissionCommand `arg:"subcommand:admission" help:"create an admission key: admission-ID.key"`
}

type caCommand struct {
	Dir  string `arg:"--dir" default:"." help:"directory of the files" placeholder:"DIR"`
	Name string `arg:"--name" default:"arbutusdock fleet CA" help:"common name"`
	Days int    `arg:"--days" default:"3650" help:"validity"`
}

type instanceCommand struct {
	Dir  string   `arg:"--dir" default:"." help:"directory of ca.crt, ca.key and the new files" placeholder:"DIR"`
	Days int      `arg:"--days" default:"365" help:"validity"`
	IDs  []string `arg:"positional,required" help:"instance ids" placeholder:"ID"`
}

type admissionCommand struct {
	Dir string `arg:"--dir" default:"." help:"directory of the files" placeholder:"DIR"`
	ID  uint8  `arg:"--id,required" help:"key id, 0 to 255; use a new one for each rotation"`
}

func (c *keysCommand) run(out io.Writer) error {
	switch {
	case c.CA != nil:
		return c.CA.run(out)
	case c.Instance != nil:
		return c.Instance.run(out)
	case c.Admission != nil:
		return c.Admission.run(out)
	}
	return errors.New("keys: one of ca, instance, admission is needed")
}

func (c *caCommand) run(out io.Writer) error {
	if _, err := keys.CreateCA(c.Dir, c.Name, time.Duration(c.Days)*day); err != nil {
		return err
	}
	return printCreated(out, c.Dir, "ca.crt", "ca.key")
}

func (c *instanceCommand) run(out io.Writer) error {
	ca, err := keys.LoadCA(c.Dir)
	if err != nil {
		return err
	}
	for _, id := range c.IDs {
		if err := ca.Issue(c.Dir, ids.Instance(id), time.Duration(c.Days)*day); err != nil {
			return err
		}
		if err := printCreated(out, c.Dir, id+".crt", id+".key"); err != nil {
			return err
		}
	}
	return nil
}

func (c *admissionCommand) run(out io.Writer) error {
	if err := keys.CreateAdmissionKey(c.Dir, c.ID); err != nil {
		return err
	}
	return printCreated(out, c.Dir, fmt.Sprintf("admission-%d.key", c.ID))
}

func printCreated(out io.Writer, dir string, names ...string) error {
	for _, name := range names {
		if _, err := fmt.Fprintln(out, "created", filepath.Join(dir, name)); err != nil {
			return err
		}
	}
	return nil
}
