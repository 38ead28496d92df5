// Package settings reads the settings file of the daemon (TOML). Every fault
// of a file is reported at once, with its line, key and allowed range.
package settings

import (
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/ids"
)

// Settings of one instance.
type Settings struct {
	File       string // from which the settings were read
	Instance   ids.Instance
	DataCentre ids.DataCentre
	RandomSeed *uint64 // fixed seed for tests; nil draws one at start

	ServiceIP     netip.Addr     // address of services whose document names none
	BackendIP     netip.Addr     // source address towards backend servers
	PeerListen    netip.AddrPort // link listener
	PeerAdvertise netip.AddrPort // address under which other instances reach the link listener
	AdminListen   netip.AddrPort // loopback only
	PlatformURL   string
	Seeds         []Seed
	TLS           TLS
	Admission     Admission
	Link          Link
	Rings         Rings
	Log           Log
	Trace         Trace
	Linger        time.Duration // time for which late datagrams are relayed during a planned stop
	HealthWorkers int           // concurrent health checks
	HealthTimeout time.Duration // of one health check

	// Passthrough is set for an instance that forwards opaque flows; all other
	// fields but File then have no meaning.
	Passthrough *Passthrough
}

// Seed is an instance that is asked for the membership at the start.
type Seed struct {
	ID         ids.Instance
	DataCentre ids.DataCentre
	Address    netip.AddrPort
}

// TLS names the PEM files for mutual TLS between instances.
type TLS struct{ CA, Certificate, Key string }

// Admission names the key files of admission tokens. All keys verify; the key
// with the id Sign signs.
type Admission struct {
	SigningKey uint8
	Keys       []AdmissionKey
	MaxEntries int // requests remembered for 300 s
	MaxBytes   int // of their responses
}

// AdmissionKey is one admission key file.
type AdmissionKey struct {
	ID   uint8
	File string
}

// Link tunes the links to other instances.
type Link struct {
	ControlBytesPerSecond int           // bytes a second that control messages may use
	StartupBurstBytes     int           // control bytes beyond that rate after the start
	DataIdleTimeout       time.Duration // a data link without messages for this long is closed
	QueueLength           int           // messages waiting for one link and lane
}

// Rings holds the capacities of the rings between goroutines, in entries.
type Rings struct{ Caller, Backend, Peer, Control, Write int }

// Log settings.
type Log struct{ Level slog.Level }

// Trace settings.
type Trace struct {
	Exporter    string  // none, stdout or stderr
	SampleRatio float64 // share of requests that are traced, 0 to 1
}

// Load reads and checks the settings file at path. File names in it are
// relative to its directory. The error is a Faults value when the content is
// at fault.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "read settings")
	}
	s, err := Parse(data)
	if err != nil {
		return Settings{}, err
	}
	s.File = path
	dir := filepath.Dir(path)
	s.TLS.CA = resolve(dir, s.TLS.CA)
	s.TLS.Certificate = resolve(dir, s.TLS.Certificate)
	s.TLS.Key = resolve(dir, s.TLS.Key)
	for i := range s.Admission.Keys {
		s.Admission.Keys[i].File = resolve(dir, s.Admission.Keys[i].File)
	}
	return s, nil
}

func resolve(dir, file string) string {
	if filepath.IsAbs(file) {
		return file
	}
	return filepath.Join(dir, file)
}

// Parse checks the content of a settings file and fills in the defaults.
func Parse(data []byte) (Settings, error) {
	r, err := newReader(data)
	if err != nil {
		return Settings{}, err
	}
	var s Settings
	if r.hasTable("passthrough") {
		s.Passthrough = parsePassthrough(r)
		return s, r.finish()
	}
	parseIdentity(r, &s)
	parseAddresses(r, &s)
	parseSeeds(r, &s)
	parseAdmission(r, &s)
	parseTuning(r, &s)
	if err := r.finish(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

func parseIdentity(r *reader, s *Settings) {
	s.Instance = ids.Instance(r.name("instance.id"))
	s.DataCentre = ids.DataCentre(r.name("instance.data_centre"))
	s.Linger = r.duration("instance.linger", 3*time.Second, 0, time.Minute)
	if r.has("instance.random_seed") {
		seed := uint64(r.integer("instance.random_seed", 0, 0, 1<<62))
		s.RandomSeed = &seed
	}
	s.TLS = TLS{CA: r.text("tls.ca"), Certificate: r.text("tls.certificate"), Key: r.text("tls.key")}
}

func parseAddresses(r *reader, s *Settings) {
	s.ServiceIP = r.addr(r.need("service.listen_ip"), netip.Addr{})
	s.BackendIP = r.addr("service.backend_ip", s.ServiceIP)
	s.PeerListen = r.addrPort(r.need("peer.listen"), netip.AddrPort{})
	s.PeerAdvertise = r.addrPort("peer.advertise", s.PeerListen)
	if s.PeerAdvertise.IsValid() && s.PeerAdvertise.Addr().IsUnspecified() {
		r.fault("peer.advertise", "must name the address that other instances reach when peer.listen is unspecified")
	}
	s.AdminListen = r.addrPort(r.need("admin.listen"), netip.AddrPort{})
	if s.AdminListen.IsValid() && !s.AdminListen.Addr().IsLoopback() {
		r.fault("admin.listen", "must be a loopback address")
	}
	s.PlatformURL = r.httpURL("platform.url")
}

func parseSeeds(r *reader, s *Settings) {
	for _, at := range r.tables("seed") {
		s.Seeds = append(s.Seeds, Seed{
			ID:         ids.Instance(r.name(at + ".id")),
			DataCentre: ids.DataCentre(r.name(at + ".data_centre")),
			Address:    r.addrPort(r.need(at+".address"), netip.AddrPort{}),
		})
	}
}

func parseAdmission(r *reader, s *Settings) {
	s.Admission.SigningKey = uint8(r.integer("admission.signing_key", required, 0, 255))
	s.Admission.MaxEntries = int(r.integer("admission.max_entries", 1<<16, 1<<10, 1<<24))
	s.Admission.MaxBytes = int(r.integer("admission.max_bytes", 24<<20, 1<<20, 1<<33))
	seen := map[uint8]bool{}
	for _, at := range r.tables("admission.key") {
		k := AdmissionKey{ID: uint8(r.integer(at+".id", required, 0, 255)), File: r.text(at + ".file")}
		if seen[k.ID] {
			r.fault(at+".id", "is used by an earlier key")
		}
		seen[k.ID] = true
		s.Admission.Keys = append(s.Admission.Keys, k)
	}
	if r.has("admission.signing_key") && !seen[s.Admission.SigningKey] {
		r.fault("admission.signing_key", "must be the id of an [[admission.key]]")
	}
}

func parseTuning(r *reader, s *Settings) {
	s.Link = Link{
		ControlBytesPerSecond: int(r.integer("link.control_bytes_per_second", 2048, 256, 1<<20)),
		StartupBurstBytes:     int(r.integer("link.start_bytes", 128<<10, 0, 1<<24)),
		DataIdleTimeout:       r.duration("link.data_idle", time.Minute, time.Second, time.Hour),
		QueueLength:           int(r.integer("link.queue", 1024, 16, 1<<16)),
	}
	s.Rings = Rings{
		Caller:  int(r.integer("rings.caller", 4096, 16, 1<<20)),
		Backend: int(r.integer("rings.backend", 4096, 16, 1<<20)),
		Peer:    int(r.integer("rings.peer", 4096, 16, 1<<20)),
		Control: int(r.integer("rings.control", 1024, 16, 1<<20)),
		Write:   int(r.integer("rings.write", 4096, 16, 1<<20)),
	}
	s.HealthWorkers = int(r.integer("health.workers", 16, 1, 1024))
	s.HealthTimeout = r.duration("health.timeout", 500*time.Millisecond, 10*time.Millisecond, 10*time.Second)
	parseLog(r, &s.Log)
	parseTrace(r, &s.Trace)
}

func parseLog(r *reader, l *Log) {
	level := r.oneOf("log.level", "info", "debug", "info", "warn", "error")
	_ = l.Level.UnmarshalText([]byte(level)) // oneOf admits only valid levels
}

func parseTrace(r *reader, t *Trace) {
	t.Exporter = r.oneOf("trace.exporter", "none", "none", "stdout", "stderr")
	t.SampleRatio = r.float("trace.sample", 0.01, 0, 1)
}
