package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// Prefixes of document keys in the platform.
const (
	profilePrefix = "profile/"
	servicePrefix = "service/"
)

const (
	maxPartners        = 64
	maxHostsOrNetworks = 256 // for the hosts and for the networks of a partner
	nameRule           = "1 to 63 of a-z, 0-9, '.', '_', '-', starting with a letter or digit"
)

var coapMethods = []string{"GET", "POST", "PUT", "DELETE", "FETCH", "PATCH", "IPATCH"}

// ParseProfile parses and validates a profile document. The error is a
// *DocumentError that lists every fault with its line, key and allowed range.
func ParseProfile(name string, toml []byte) (Profile, error) {
	f := &faults{document: profilePrefix + name}
	if !validName(name) {
		f.add("", "name %q, allowed: %s", name, nameRule)
	}
	p := Profile{Name: name}
	if t := parseTable(f, toml); t != nil {
		p.Spread = parseSpread(t.table("spread"))
		p.Protect = parseProtect(t.table("protect"))
		p.Partners = parsePartners(t)
		t.reportUnknownKeys()
	}
	if err := f.err(); err != nil {
		return Profile{}, err
	}
	return p, nil
}

func validName(s string) bool {
	if len(s) == 0 || len(s) > 63 || strings.ContainsRune("._-", rune(s[0])) {
		return false
	}
	for _, c := range []byte(s) {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && !strings.ContainsRune("._-", rune(c)) {
			return false
		}
	}
	return true
}

func parseSpread(t *table) Spread {
	defer t.reportUnknownKeys()
	return Spread{
		LongShare:  t.float("long_share", 0.6, 0.05, 1),
		LongFactor: t.float("long_factor", 8, 1.5, 1000),
		SlowStart:  t.milliseconds("slow_start_ms", 2*time.Second, 0, 10*time.Minute),
	}
}

func parseProtect(t *table) Protect {
	defer t.reportUnknownKeys()
	p := Protect{
		Deadline:      t.milliseconds("deadline_ms", 5*time.Second, 10*time.Millisecond, 10*time.Minute),
		QueueTime:     t.milliseconds("queue_time_ms", time.Second, 0, 10*time.Minute),
		QueueLength:   int(t.integer("queue_length", 256, 0, 100_000)),
		RetryRatio:    t.float("retry_ratio", 0.1, 0, 1),
		MaxFeeds:      int(t.integer("max_feeds", 2000, 0, 100_000)),
		Idempotent:    t.stringList("idempotent", "CoAP methods"),
		RetryAfterMin: t.milliseconds("retry_after_min_ms", time.Second, time.Second, time.Hour),
		RetryAfterMax: t.milliseconds("retry_after_max_ms", 8*time.Second, time.Second, time.Hour),
	}
	if _, ok := t.values["idempotent"]; !ok {
		p.Idempotent = []string{"GET", "FETCH"}
	}
	for i, m := range p.Idempotent {
		if !slices.Contains(coapMethods, m) {
			t.fault(fmt.Sprintf("idempotent[%d]", i), "%q, allowed: %s", m, strings.Join(coapMethods, ", "))
		}
	}
	if _, ok := t.values["queue_time_ms"]; !ok {
		p.QueueTime = min(p.QueueTime, p.Deadline)
	}
	if p.QueueTime > p.Deadline {
		t.fault("queue_time_ms", "%d, allowed: 0 to deadline_ms (%d)", p.QueueTime.Milliseconds(), p.Deadline.Milliseconds())
	}
	if _, ok := t.values["retry_after_max_ms"]; !ok {
		p.RetryAfterMax = max(p.RetryAfterMax, p.RetryAfterMin)
	}
	if p.RetryAfterMax < p.RetryAfterMin {
		t.fault("retry_after_max_ms", "%d, allowed: retry_after_min_ms (%d) to %d",
			p.RetryAfterMax.Milliseconds(), p.RetryAfterMin.Milliseconds(), time.Hour.Milliseconds())
	}
	return p
}

func parsePartners(t *table) []Partner {
	var list []Partner
	for i, pt := range t.tables("partner", maxPartners) {
		p := Partner{Weight: uint32(pt.integer("weight", 1, 1, 10_000))}
		if name, ok := pt.stringValue("name", nameRule, true); ok {
			if !validName(name) {
				pt.fault("name", "%q, allowed: %s", name, nameRule)
			}
			if slices.ContainsFunc(list, func(o Partner) bool { return string(o.Name) == name }) {
				pt.fault("name", "%q is used by an earlier partner, allowed: a name used once", name)
			}
			p.Name = ids.Partner(name)
		}
		p.Hosts = pt.stringList("hosts", "host names")
		for k, h := range p.Hosts {
			// 255 bytes is the limit of the Uri-Host option (RFC 7252).
			if h == "" || len(h) > 255 {
				pt.fault(fmt.Sprintf("hosts[%d]", k), "%d bytes, allowed: 1 to 255", len(h))
			}
		}
		p.Networks = parseNetworks(pt)
		if n := max(len(p.Hosts), len(p.Networks)); n > maxHostsOrNetworks {
			t.fault(fmt.Sprintf("partner[%d]", i), "%d hosts or networks, allowed: at most %d", n, maxHostsOrNetworks)
		}
		pt.reportUnknownKeys()
		list = append(list, p)
	}
	return list
}

func parseNetworks(t *table) []netip.Prefix {
	var list []netip.Prefix
	const allowed = "networks such as 10.1.0.0/16"
	for i, s := range t.stringList("networks", allowed) {
		n, err := netip.ParsePrefix(s)
		if err != nil || n != n.Masked() {
			t.fault(fmt.Sprintf("networks[%d]", i), "%q, allowed: %s, without host bits", s, allowed)
			continue
		}
		list = append(list, n)
	}
	return list
}
