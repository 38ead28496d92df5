package main

import (
	"cmp"
	"context"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/standin/backend"
	"arbutusdock.example/arbutusdock/internal/standin/fabric"
	"arbutusdock.example/arbutusdock/internal/standin/platform"
)

type platformCmd struct {
	Listen    []string      `arg:"--listen,required" help:"HTTP addresses; faults can be set for each"`
	Documents string        `arg:"--documents" help:"directory of the initial documents (profile/x.toml, service/x.toml)"`
	Lag       time.Duration `arg:"--lag" default:"500ms" help:"lag of the list of instances"`
}

func (c *platformCmd) run(ctx context.Context) error {
	p, err := platform.New(c.Documents, c.Lag)
	if err != nil {
		return err
	}
	return serve(ctx, p, c.Listen...)
}

type fabricCmd struct {
	Documents string        `arg:"--documents,required" help:"directory of the service documents, for the ports"`
	Platform  string        `arg:"--platform,required" help:"base URL of the platform"`
	Public    []string      `arg:"--public,required" help:"public IP of each data centre: name=IP"`
	Control   string        `arg:"--control,required" help:"HTTP address of the control interface"`
	Poll      time.Duration `arg:"--poll" default:"100ms" help:"interval of reading the list of instances"`
	Idle      time.Duration `arg:"--idle" default:"2m" help:"time after which an unused caller socket is closed"`
	Seed      uint64        `arg:"--seed" default:"1"`
	Links     string        `arg:"--links" help:"file with the links between instances: data centre, listen address, target address"`
}

func (c *fabricCmd) run(ctx context.Context) error {
	services, err := loadServices(c.Documents)
	if err != nil {
		return err
	}
	public, err := parseAddresses(c.Public)
	if err != nil {
		return err
	}
	opt := fabric.Options{PlatformURL: c.Platform, PublicIPs: public, PollInterval: c.Poll, IdleTimeout: c.Idle, Seed: c.Seed}
	for _, s := range services {
		opt.Ports = append(opt.Ports, s.Port)
	}
	if c.Links != "" {
		if opt.Links, err = loadLinks(c.Links); err != nil {
			return err
		}
	}
	f := fabric.New(opt)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failed := make(chan error, 1)
	go func() {
		failed <- f.Run(ctx)
		cancel()
	}()
	if err := serve(ctx, f.Control(), c.Control); err != nil {
		return err
	}
	return <-failed
}

func loadLinks(file string) ([]fabric.Link, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read links")
	}
	var links []fabric.Link
	for line := range strings.Lines(string(data)) {
		columns := strings.Fields(line)
		if len(columns) != 3 {
			return nil, eris.Errorf("links: line %q: want data centre, listen address, target address", line)
		}
		listen, err := netip.ParseAddrPort(columns[1])
		if err != nil {
			return nil, eris.Wrapf(err, "links: line %q", line)
		}
		target, err := netip.ParseAddrPort(columns[2])
		if err != nil {
			return nil, eris.Wrapf(err, "links: line %q", line)
		}
		links = append(links, fabric.Link{DataCentre: columns[0], Listen: listen, Target: target})
	}
	return links, nil
}

type backendCmd struct {
	Documents    string        `arg:"--documents,required" help:"directory of the service documents"`
	DataCentre   string        `arg:"--data-centre" help:"only the targets of this data centre"`
	Listen       string        `arg:"--listen,required" help:"HTTP address for health, control and counts"`
	Run          []string      `arg:"--run" help:"run time of a short request: service=duration; default 20ms"`
	LongFactor   int           `arg:"--long-factor" default:"50" help:"run time of a long request over that of a short one"`
	Queue        int           `arg:"--queue" default:"4" help:"requests that wait for a slot"`
	FeedInterval time.Duration `arg:"--feed-interval" default:"500ms"`
	DrainGrace   time.Duration `arg:"--drain-grace" default:"8s" help:"from the start of a drain until open feeds are cut"`
	ColdFor      time.Duration `arg:"--cold-for" default:"3s"`
}

func (c *backendCmd) run(ctx context.Context) error {
	services, err := loadServices(c.Documents)
	if err != nil {
		return err
	}
	run := map[string]time.Duration{}
	for _, r := range c.Run {
		name, value, _ := strings.Cut(r, "=")
		if run[name], err = time.ParseDuration(value); err != nil {
			return eris.Wrapf(err, "%q: want service=duration", r)
		}
	}
	g, err := backend.Start(backend.Options{
		Services: services, DataCentre: c.DataCentre, RunTime: run, LongRunFactor: c.LongFactor, QueueLimit: c.Queue,
		FeedInterval: c.FeedInterval, DrainGrace: c.DrainGrace, ColdPeriod: c.ColdFor, Logger: slog.Default(),
	})
	if err != nil {
		return err
	}
	defer g.Close()
	return serve(ctx, g.Handler(), c.Listen)
}

// defaultSlots is the number of slots of a target whose document sets none.
const defaultSlots = 2

// serviceDocument is the part of a service document that the stand-ins need. They
// do not use arbutusdock's own parser, so that they do not share its faults.
type serviceDocument struct {
	Port   uint16 `toml:"port"`
	Target []struct {
		Name       string `toml:"name"`
		DataCentre string `toml:"data_centre"`
		Address    string `toml:"address"`
		Slots      int    `toml:"slots"`
	} `toml:"target"`
}

// loadServices reads the service documents below dir.
func loadServices(dir string) ([]config.Service, error) {
	files, err := filepath.Glob(filepath.Join(dir, "service", "*.toml"))
	if err != nil || len(files) == 0 {
		return nil, eris.Errorf("no service documents found below %s (%v)", dir, err)
	}
	var services []config.Service
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return nil, eris.Wrap(err, "read service document")
		}
		var d serviceDocument
		if err := toml.Unmarshal(data, &d); err != nil {
			return nil, eris.Wrapf(err, "parse service document %s", f)
		}
		s := config.Service{Name: ids.Service(strings.TrimSuffix(filepath.Base(f), ".toml")), Port: d.Port}
		for _, t := range d.Target {
			address, err := netip.ParseAddrPort(t.Address)
			if err != nil {
				return nil, eris.Wrapf(err, "service document %s: target %s", f, t.Name)
			}
			s.Targets = append(s.Targets, config.Target{
				Name: ids.Target(t.Name), DataCentre: ids.DataCentre(t.DataCentre), Address: address,
				Slots: cmp.Or(t.Slots, defaultSlots),
			})
		}
		services = append(services, s)
	}
	return services, nil
}
