package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/standin/caller"
	"arbutusdock.example/arbutusdock/internal/standin/report"
	"arbutusdock.example/arbutusdock/internal/standin/wire"
)

type callerCmd struct {
	Documents string        `arg:"--documents,required" help:"directory of the service documents, for the ports"`
	User      string        `arg:"--user,required" help:"board or kelani"`
	Public    []string      `arg:"--public,required" help:"public IP of each data centre: name=IP"`
	Local     netip.Addr    `arg:"--local,required" help:"first of the callers' own IPs"`
	Rate      float64       `arg:"--rate" default:"200" help:"requests a second"`
	Feeds     int           `arg:"--feeds" default:"100" help:"open feeds"`
	Callers   int           `arg:"--callers" default:"40" help:"callers by service and data centre"`
	Hosts     []string      `arg:"--hosts" help:"Uri-Host of each partner"`
	Duration  time.Duration `arg:"--duration" default:"30s"`
	Deadline  time.Duration `arg:"--deadline" default:"5s"`
	Refresh   time.Duration `arg:"--refresh" default:"10s" help:"interval of the registration of a feed"`
	Silence   time.Duration `arg:"--silence" default:"3s" help:"time without a reading after which a feed is silent"`
	Burst     float64       `arg:"--burst" default:"1" help:"factor of the demand in 2 of every 10 s"`
	Zipf      float64       `arg:"--zipf" default:"1.2" help:"exponent of the demand over resources; 0: uniform"`
	Seed      int64         `arg:"--seed" default:"1"`
	Out       string        `arg:"--out,required" help:"file for the counts (JSON)"`
}

func (c *callerCmd) run(ctx context.Context) error {
	services, err := loadServices(c.Documents)
	if err != nil {
		return err
	}
	public, err := parseAddresses(c.Public)
	if err != nil {
		return err
	}
	sources, feeds, err := caller.Mix(c.User, c.Rate, c.Feeds)
	if err != nil {
		return err
	}
	ports := map[string]uint16{}
	for _, s := range services {
		ports[string(s.Name)] = s.Port
	}
	g, err := caller.New(ctx, caller.Options{
		User: c.User, PublicIPs: public, Ports: ports, Sources: sources, Feeds: feeds, PartnerHosts: c.Hosts, FirstLocalIP: c.Local,
		Callers: c.Callers, Duration: c.Duration, Deadline: c.Deadline, RefreshInterval: c.Refresh, SilenceTimeout: c.Silence,
		BurstFactor: c.Burst, ZipfExponent: c.Zipf, Seed: c.Seed,
	})
	if err != nil {
		return err
	}
	data, err := json.Marshal(g.Run(ctx))
	if err != nil {
		return eris.Wrap(err, "encode counts")
	}
	return eris.Wrap(os.WriteFile(c.Out, data, 0o644), "write counts")
}

type reportCmd struct {
	Backends []string `arg:"--backends,required" help:"base URLs of backend servers, or files with their counts"`
	Callers  []string `arg:"--callers,required" help:"files with the counts of callers"`
	Events   string   `arg:"--events" help:"file with the events of the run"`
}

func (c *reportCmd) run() error {
	var in report.Input
	for _, b := range c.Backends {
		var counts wire.BackendCounts
		if err := readCounts(b, "/counts", &counts); err != nil {
			return err
		}
		in.Backends = append(in.Backends, counts)
	}
	for _, f := range c.Callers {
		var r wire.CallerResult
		if err := readCounts(f, "", &r); err != nil {
			return err
		}
		in.Callers = append(in.Callers, r)
	}
	if c.Events != "" {
		f, err := os.Open(c.Events)
		if err != nil {
			return eris.Wrap(err, "open events")
		}
		defer func() { _ = f.Close() }()
		if in.Events, err = report.ParseEvents(f); err != nil {
			return err
		}
	}
	v := report.Evaluate(in)
	if err := report.Write(os.Stdout, in, v); err != nil {
		return err
	}
	if !v.OK() {
		return errGuaranteeBroken
	}
	return nil
}

// readCounts decodes JSON from source, which is a file or a base URL to which path
// is appended.
func readCounts(source, path string, v any) error {
	if !strings.HasPrefix(source, "http://") {
		data, err := os.ReadFile(source)
		if err != nil {
			return eris.Wrap(err, "read counts")
		}
		return eris.Wrapf(json.Unmarshal(data, v), "decode %s", source)
	}
	resp, err := http.Get(source + path)
	if err != nil {
		return eris.Wrap(err, "fetch counts")
	}
	defer func() { _ = resp.Body.Close() }()
	return eris.Wrapf(json.NewDecoder(resp.Body).Decode(v), "decode %s", source)
}

// httpCmd sends one HTTP request, so that scripts need no external HTTP client.
type httpCmd struct {
	Method string `arg:"positional,required"`
	URL    string `arg:"positional,required"`
	Body   string `arg:"positional" help:"body, or @file"`
}

func (c *httpCmd) run(ctx context.Context) error {
	body := []byte(c.Body)
	if file, ok := strings.CutPrefix(c.Body, "@"); ok {
		var err error
		if body, err = os.ReadFile(file); err != nil {
			return eris.Wrap(err, "read request body")
		}
	}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.Method, c.URL, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "request")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrapf(err, "%s %s", c.Method, c.URL)
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return eris.Wrap(err, "read response")
	}
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("%s %s: %s: %s", c.Method, c.URL, resp.Status, bytes.TrimSpace(respBody))
	}
	fmt.Print(string(respBody))
	return nil
}
