// Package settings parses and validates the settings file of the daemon (TOML).
// All faults in a file are reported together, each with its line, key and
// allowed range.
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

// Settings holds the settings of one instance.
type Settings struct {
	File       string // path of the settings file
	Instance   ids.Instance
	DataCentre ids.DataCentre
	RandomSeed *uint64 // fixed seed for tests; nil selects a random seed at startup

	ServiceIP     netip.Addr     // listen address of services whose document sets none
	BackendIP     netip.Addr     // source address of datagrams to backend servers
	PeerListen    netip.AddrPort // listen address for links from other instances
	PeerAdvertise netip.AddrPort // address at which other instances reach PeerListen
	AdminListen   netip.AddrPort // listen address of the admin interface; must be a loopback address
	PlatformURL   string
	Seeds         []Seed
	TLS           TLS
	Admission     Admission
	Link          Link
	Rings         Rings
	Log           Log
	Trace         Trace
	Linger        time.Duration // time for which late datagrams are still relayed during a planned stop
	HealthWorkers int           // concurrent health checks
	HealthTimeout time.Duration // timeout of one health check

	// Passthrough is set for a pass-through instance. All other fields except
	// File are then unused.
	Passthrough *Passthrough
}

// Seed is an instance that is contacted at startup to obtain the member list.
type Seed struct {
	ID         ids.Instance
	DataCentre ids.DataCentre
	Address    netip.AddrPort
}

// TLS holds the paths of the PEM files for mutual TLS between instances.
type TLS struct{ CA, Certificate, Key string }

// Admission configures admission tokens and the store of admitted requests.
// Tokens are signed with the key whose id is SigningKey; all keys are accepted
// for verification.
type Admission struct {
	SigningKey uint8
	Keys       []AdmissionKey
	MaxEntries int // maximum number of admitted requests stored; each is stored for 300 s
	MaxBytes   int // maximum total size of their stored responses
}

// AdmissionKey is the id and the file of one admission key.
type AdmissionKey struct {
	ID   uint8
	File string
}

// Link holds the limits of the links to other instances.
type Link struct {
	ControlBytesPerSecond int           // rate limit of control messages
	StartupBurstBytes     int           // control bytes allowed above that rate after startup
	DataIdleTimeout       time.Duration // a data link without messages for this time is closed
	QueueLength           int           // maximum number of messages queued for each link and lane
}

// Rings holds the capacities of the ring buffers between goroutines, in entries.
type Rings struct{ Caller, Backend, Peer, Control, Write int }

// Log holds the log settings.
type Log struct{ Level slog.Level }

// Trace holds the settings of request tracing.
type Trace struct {
	Exporter    string  // none, stdout or stderr
	SampleRatio float64 // fraction of requests that are traced, 0 to 1
}

// Load reads and validates the settings file at path. Relative file names in it
// are resolved against its directory. The error is a Faults value if the
// content is invalid.
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
	s.TLS.CA = resolvePath(dir, s.TLS.CA)
	s.TLS.Certificate = resolvePath(dir, s.TLS.Certificate)
	s.TLS.Key = resolvePath(dir, s.TLS.Key)
	for i := range s.Admission.Keys {
		s.Admission.Keys[i].File = resolvePath(dir, s.Admission.Keys[i].File)
	}
	return s, nil
}

func resolvePath(dir, file string) string {
	if filepath.IsAbs(file) {
		return file
	}
	return filepath.Join(dir, file)
}

// Parse validates the content of a settings file and fills in the defaults.
// Relative file names in it are left as they are.
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
	s.Instance = ids.Instance(r.requiredName("instance.id"))
	s.DataCentre = ids.DataCentre(r.requiredName("instance.data_centre"))
	s.Linger = r.duration("instance.linger", 3*time.Second, 0, time.Minute)
	if r.has("instance.random_seed") {
		seed := uint64(r.integer("instance.random_seed", 0, 0, 1<<62))
		s.RandomSeed = &seed
	}
	s.TLS = TLS{CA: r.requiredString("tls.ca"), Certificate: r.requiredString("tls.certificate"), Key: r.requiredString("tls.key")}
}

func parseAddresses(r *reader, s *Settings) {
	s.ServiceIP = r.addr(r.requireKey("service.listen_ip"), netip.Addr{})
	s.BackendIP = r.addr("service.backend_ip", s.ServiceIP)
	s.PeerListen = r.addrPort(r.requireKey("peer.listen"), netip.AddrPort{})
	s.PeerAdvertise = r.addrPort("peer.advertise", s.PeerListen)
	if s.PeerAdvertise.IsValid() && s.PeerAdvertise.Addr().IsUnspecified() {
		r.addFault("peer.advertise", "must name the address that other instances reach when peer.listen is unspecified")
	}
	s.AdminListen = r.addrPort(r.requireKey("admin.listen"), netip.AddrPort{})
	if s.AdminListen.IsValid() && !s.AdminListen.Addr().IsLoopback() {
		r.addFault("admin.listen", "must be a loopback address")
	}
	s.PlatformURL = r.httpURL("platform.url")
}

func parseSeeds(r *reader, s *Settings) {
	for _, prefix := range r.tablePrefixes("seed") {
		s.Seeds = append(s.Seeds, Seed{
			ID:         ids.Instance(r.requiredName(prefix + ".id")),
			DataCentre: ids.DataCentre(r.requiredName(prefix + ".data_centre")),
			Address:    r.addrPort(r.requireKey(prefix+".address"), netip.AddrPort{}),
		})
	}
}

func parseAdmission(r *reader, s *Settings) {
	s.Admission.SigningKey = uint8(r.integer("admission.signing_key", noDefault, 0, 255))
	s.Admission.MaxEntries = int(r.integer("admission.max_entries", 1<<16, 1<<10, 1<<24))
	s.Admission.MaxBytes = int(r.integer("admission.max_bytes", 24<<20, 1<<20, 1<<33))
	seen := map[uint8]bool{}
	for _, prefix := range r.tablePrefixes("admission.key") {
		k := AdmissionKey{ID: uint8(r.integer(prefix+".id", noDefault, 0, 255)), File: r.requiredString(prefix + ".file")}
		if seen[k.ID] {
			r.addFault(prefix+".id", "is used by an earlier key")
		}
		seen[k.ID] = true
		s.Admission.Keys = append(s.Admission.Keys, k)
	}
	if r.has("admission.signing_key") && !seen[s.Admission.SigningKey] {
		r.addFault("admission.signing_key", "must be the id of an [[admission.key]]")
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
	_ = l.Level.UnmarshalText([]byte(level)) // oneOf returns only valid levels
}

func parseTrace(r *reader, t *Trace) {
	t.Exporter = r.oneOf("trace.exporter", "none", "none", "stdout", "stderr")
	t.SampleRatio = r.float("trace.sample", 0.01, 0, 1)
}
