package config

import (
	"net/netip"
	"net/url"
	"unique"

	"arbutusdock.example/arbutusdock/internal/ids"
)

const (
	maxTargets   = 4096
	maxSlots     = 64
	defaultSlots = 2
	endpointRule = "IP:port such as 10.0.0.5:5683"
	healthRule   = "a URL such as http://10.0.0.5:8080/health with an IP address and a port"
	addressRule  = "an IP address, 0.0.0.0 for any local one"
)

// ParseService parses and validates a service document. The error is a
// *DocumentError that lists every fault with its line, key and allowed range.
func ParseService(name string, toml []byte) (Service, error) {
	f := &faults{document: servicePrefix + name}
	if !validName(name) {
		f.add("", "name %q, allowed: %s", name, nameRule)
	}
	s := Service{Name: ids.Service(name), Address: netip.IPv4Unspecified()}
	if t := parseTable(f, toml); t != nil {
		if a, ok := t.stringValue("address", addressRule, false); ok {
			addr, err := netip.ParseAddr(a)
			if err != nil || addr.Zone() != "" {
				t.fault("address", "%q, allowed: %s", a, addressRule)
			}
			s.Address = addr
		}
		s.Port = uint16(t.integer("port", 0, 1, 65535))
		if _, ok := t.values["port"]; !ok {
			t.fault("port", "missing, allowed: 1 to 65535")
		}
		s.Profile = parseName(t, "profile")
		s.Targets = parseTargets(t)
		t.reportUnknownKeys()
	}
	if err := f.err(); err != nil {
		return Service{}, err
	}
	return s, nil
}

// parseName reads a required name. Names are interned, since the same name
// occurs in many documents.
func parseName(t *table, key string) string {
	name, ok := t.stringValue(key, nameRule, true)
	if ok && !validName(name) {
		t.fault(key, "%q, allowed: %s", name, nameRule)
	}
	return unique.Make(name).Value()
}

func parseTargets(t *table) []Target {
	entries := t.tables("target", maxTargets)
	list := make([]Target, 0, len(entries))
	names := make(map[ids.Target]bool, len(entries))
	addresses := make(map[ids.Endpoint]bool, len(entries))
	for _, e := range entries {
		target := parseTarget(e)
		if target.Name != "" && names[target.Name] {
			e.fault("name", "%q is used by an earlier target, allowed: a name used once", target.Name)
		}
		if target.Address.IsValid() && addresses[target.Address] {
			e.fault("address", "%s is used by an earlier target, allowed: an address used once", target.Address)
		}
		names[target.Name], addresses[target.Address] = true, true
		list = append(list, target)
	}
	return list
}

func parseTarget(t *table) Target {
	defer t.reportUnknownKeys()
	target := Target{
		Name:       ids.Target(parseName(t, "name")),
		DataCentre: ids.DataCentre(parseName(t, "data_centre")),
		Slots:      int(t.integer("slots", defaultSlots, 1, maxSlots)),
		Draining:   t.boolean("draining"),
	}
	if a, ok := t.stringValue("address", endpointRule, true); ok {
		e, err := netip.ParseAddrPort(a)
		if err != nil || e.Port() == 0 || e.Addr().IsUnspecified() || e.Addr().Zone() != "" {
			t.fault("address", "%q, allowed: %s", a, endpointRule)
		}
		target.Address = e
	}
	if h, ok := t.stringValue("health", healthRule, false); ok {
		if h != "" && !validHealthURL(h) {
			t.fault("health", "%q, allowed: %s", h, healthRule)
		}
		target.Health = h
	}
	return target
}

func validHealthURL(s string) bool {
	u, err := url.Parse(s)
	if err != nil || u.Scheme != "http" || u.User != nil || len(s) > 255 {
		return false
	}
	e, err := netip.ParseAddrPort(u.Host)
	return err == nil && e.Port() != 0
}
