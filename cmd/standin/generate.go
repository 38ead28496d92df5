package main

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// Ports of the generated instances, backend servers and stand-ins. Services keep
// the ports of their example documents.
const (
	peerPort     = 7100
	adminPort    = 7200
	platformPort = 7300
	backendPort  = 6000
	controlPort  = 7400
)

// generateCmd writes the settings and documents of a set of instances on loopback
// addresses. Base is the second byte of the first of five networks: instances
// 127.B.<data centre>.<n>, backend servers 127.B+1.<data centre>.<n>, public
// addresses 127.B+2.<data centre>.1, callers 127.B+3.<user>.<n>, stand-ins
// 127.B+4.0.<n>, the platform 127.B+4.<data centre>.1 and the links to the
// instances 127.B+4.<100 + data centre>.<n>.
type generateCmd struct {
	Examples    string   `arg:"--examples" default:"docs/examples" help:"directory of the templates"`
	Out         string   `arg:"--out,required" help:"directory to write to"`
	Base        int      `arg:"--base" default:"90" help:"second byte of the first network"`
	DataCentres int      `arg:"--data-centres" default:"2"`
	Instances   int      `arg:"--instances" default:"5" help:"instances of each data centre"`
	Targets     []string `arg:"--targets" help:"targets of each data centre by service: name=count"`
	Linger      string   `arg:"--linger" default:"2s" help:"linger period of a planned stop"`
}

// instance holds the id and addresses of one generated instance.
type instance struct{ id, dc, ip, peerAddr string }

func (i instance) peerListen() string { return fmt.Sprintf("%s:%d", i.ip, peerPort) }

func (c *generateCmd) run() error {
	if len(c.Targets) == 0 {
		c.Targets = []string{"counter=15", "slip=4", "alarm=15", "certificate=4"}
	}
	if err := c.copyProfiles(); err != nil {
		return err
	}
	for i, t := range c.Targets {
		if err := c.writeService(i, t); err != nil {
			return err
		}
	}
	return c.writeInstances()
}

func (c *generateCmd) copyProfiles() error {
	files, err := filepath.Glob(filepath.Join(c.Examples, "profile", "*.toml"))
	if err != nil || len(files) == 0 {
		return eris.Errorf("no profiles found below %s (%v)", c.Examples, err)
	}
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return eris.Wrap(err, "read profile")
		}
		if err := writeFile(filepath.Join(c.Out, "documents", "profile", filepath.Base(f)), data); err != nil {
			return err
		}
	}
	return nil
}

// writeService writes the example document of a service with generated targets.
// Spec is "name=count", with the number of targets in each data centre.
func (c *generateCmd) writeService(index int, spec string) error {
	name, number, _ := strings.Cut(spec, "=")
	var count int
	if _, err := fmt.Sscan(number, &count); err != nil {
		return eris.Wrapf(err, "%q: want name=count", spec)
	}
	doc, err := loadTOML(filepath.Join(c.Examples, "service", name+".toml"))
	if err != nil {
		return err
	}
	var targets []map[string]any
	for dc := 1; dc <= c.DataCentres; dc++ {
		for n := 1; n <= count; n++ {
			target := fmt.Sprintf("%s-%d-%d", name, dc, n)
			targets = append(targets, map[string]any{
				"name": target, "data_centre": fmt.Sprintf("dc%d", dc),
				"address": fmt.Sprintf("127.%d.%d.%d:%d", c.Base+1, dc, index*40+n, backendPort),
				"health":  fmt.Sprintf("http://127.%d.0.2:%d/health/%s/%s", c.Base+4, controlPort, name, target),
				"slots":   2,
			})
		}
	}
	doc["target"] = targets
	return writeTOML(filepath.Join(c.Out, "documents", "service", name+".toml"), doc)
}

// writeInstances writes the settings of all instances, a list of the instances
// for scripts (id, data centre, IP, peer address) and the links of the fabric.
func (c *generateCmd) writeInstances() error {
	var all []instance
	for dc := 1; dc <= c.DataCentres; dc++ {
		for n := 1; n <= c.Instances; n++ {
			all = append(all, instance{
				id: fmt.Sprintf("dc%d-%d", dc, n), dc: fmt.Sprintf("dc%d", dc),
				ip:       fmt.Sprintf("127.%d.%d.%d", c.Base, dc, n),
				peerAddr: fmt.Sprintf("127.%d.%d.%d:%d", c.Base+4, 100+dc, n, peerPort),
			})
		}
	}
	var list, links strings.Builder
	for _, in := range all {
		doc, err := loadTOML(filepath.Join(c.Examples, "arbutusdockd.toml"))
		if err != nil {
			return err
		}
		setValues(doc, "instance", map[string]any{"id": in.id, "data_centre": in.dc, "linger": c.Linger})
		setValues(doc, "service", map[string]any{"listen_ip": in.ip})
		setValues(doc, "peer", map[string]any{"listen": in.peerListen(), "advertise": in.peerAddr})
		setValues(doc, "admin", map[string]any{"listen": fmt.Sprintf("%s:%d", in.ip, adminPort)})
		setValues(doc, "platform", map[string]any{"url": fmt.Sprintf("http://127.%d.%s.1:%d", c.Base+4, strings.TrimPrefix(in.dc, "dc"), platformPort)})
		setValues(doc, "tls", map[string]any{"ca": "../../keys/ca.crt", "certificate": "../../keys/" + in.id + ".crt", "key": "../../keys/" + in.id + ".key"})
		setValues(doc, "log", map[string]any{"level": "info"})
		doc["admission"] = map[string]any{"signing_key": 1, "key": []map[string]any{{"id": 1, "file": "../../keys/admission-1.key"}}}
		var seeds []map[string]any
		for _, s := range all {
			if s.id != in.id {
				seeds = append(seeds, map[string]any{"id": s.id, "data_centre": s.dc, "address": s.peerAddr})
			}
		}
		doc["seed"] = seeds
		if err := writeTOML(filepath.Join(c.Out, "instances", in.id, "settings.toml"), doc); err != nil {
			return err
		}
		fmt.Fprintf(&list, "%s %s %s %s\n", in.id, in.dc, in.ip, in.peerAddr)
		fmt.Fprintf(&links, "%s %s %s\n", in.dc, in.peerAddr, in.peerListen())
	}
	if err := writeFile(filepath.Join(c.Out, "links.txt"), []byte(links.String())); err != nil {
		return err
	}
	return writeFile(filepath.Join(c.Out, "instances.txt"), []byte(list.String()))
}

func setValues(doc map[string]any, table string, values map[string]any) {
	t, ok := doc[table].(map[string]any)
	if !ok {
		t = map[string]any{}
		doc[table] = t
	}
	maps.Copy(t, values)
}

func loadTOML(file string) (map[string]any, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read template")
	}
	doc := map[string]any{}
	return doc, eris.Wrapf(toml.Unmarshal(data, &doc), "parse %s", file)
}

func writeTOML(file string, doc map[string]any) error {
	data, err := toml.Marshal(doc)
	if err != nil {
		return eris.Wrapf(err, "encode %s", file)
	}
	return writeFile(file, data)
}

func writeFile(file string, data []byte) error {
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		return eris.Wrap(err, "create directory")
	}
	return eris.Wrap(os.WriteFile(file, data, 0o644), "write file")
}
