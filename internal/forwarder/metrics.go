package forwarder

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"arbutusdock.example/arbutusdock/internal/passthrough"
)

// metrics are the counters and histograms of an instance, in the format that
// Prometheus reads. Times are in seconds.
type metrics struct {
	registry                           *prometheus.Registry
	malformed, readErrors, writeErrors prometheus.Counter
	suspected, trusted, lapsed         prometheus.Counter
	packets                            [passthrough.NumReasons]prometheus.Counter
	adopted, stalled                   prometheus.Counter
	forwarding, answered, served       prometheus.Histogram
	calls, checks                      *prometheus.CounterVec
	version, newsAge, flows, flowBytes prometheus.Gauge
	targets                            *prometheus.GaugeVec
}

func newMetrics(f *Forwarder) *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: "arbutusdock_" + name, Help: help})
		m.registry.MustRegister(c)
		return c
	}
	histogram := func(name, help string, first float64, n int) prometheus.Histogram {
		h := prometheus.NewHistogram(prometheus.HistogramOpts{Name: "arbutusdock_" + name, Help: help, Buckets: prometheus.ExponentialBuckets(first, 2, n)})
		m.registry.MustRegister(h)
		return h
	}
	gauge := func(name, help string, read func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "arbutusdock_" + name, Help: help}, read))
	}
	m.malformed = counter("malformed_datagrams_total", "Datagrams that are not packets.")
	m.readErrors = counter("read_errors_total", "Failed reads of the datagram socket.")
	m.writeErrors = counter("write_errors_total", "Datagrams that could not be sent.")
	m.suspected = counter("targets_suspected_total", "Times that a target was suspected.")
	m.trusted = counter("targets_trusted_total", "Times that a suspected target showed that it is alive.")
	m.lapsed = counter("targets_lapsed_total", "Records missing after an outage of the platform.")
	m.adopted = counter("flows_adopted_total", "Flows that came from another instance.")
	m.stalled = counter("repeated_data_packets_total", "Packets with request data that the caller repeats.")
	packets := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "arbutusdock_packets_total", Help: "Packets of callers by the input that decided."}, []string{"reason"})
	m.registry.MustRegister(packets)
	for r := range passthrough.Reason(passthrough.NumReasons) {
		m.packets[r] = packets.WithLabelValues(r.String())
	}
	m.calls = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "arbutusdock_news_total", Help: "Reads of what is published, by source and result."}, []string{"source", "result"})
	m.checks = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "arbutusdock_checks_total", Help: "Health checks of suspected targets by result."}, []string{"result"})
	m.registry.MustRegister(m.calls, m.checks)
	m.forwarding = histogram("forwarding_seconds", "Time from reading a packet to having sent it.", 1e-6, 16)
	m.answered = histogram("opening_seconds", "Time from an opening packet to the caller's next packet.", 1e-3, 12)
	m.served = histogram("request_seconds", "Time from a request to the first acknowledged byte of its answer.", 1e-3, 14)
	set := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Name: "arbutusdock_" + name, Help: help})
		m.registry.MustRegister(g)
		return g
	}
	m.version = set("config_version", "Version of the configuration in force, 0 for none.")
	m.newsAge = set("news_age_seconds", "Time since what is published was last known to be complete.")
	m.flows = set("flows", "Flows remembered.")
	m.flowBytes = set("flows_bytes", "Memory of the flows remembered.")
	m.targets = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "arbutusdock_targets", Help: "Targets by lifecycle; suspected ones count once more."}, []string{"state"})
	m.registry.MustRegister(m.targets)
	gauge("ready", "1 while the instance is in rotation.", func() float64 {
		if f.serving() {
			return 1
		}
		return 0
	})
	gauge("log_lines_dropped", "Log lines lost since nobody read them.", func() float64 { return float64(f.out.Stats().Dropped) })
	gauge("commands_dropped", "Updates that found the ring full; they are repeated.", func() float64 { return float64(f.commands.Stats().Dropped) })
	return m
}

// record counts a decision that took a time.
func (m *metrics) record(d *passthrough.Decision, took time.Duration) {
	m.packets[d.Reason].Inc()
	m.forwarding.Observe(took.Seconds())
	if d.Adopted {
		m.adopted.Inc()
	}
	if d.StalledFor > 0 {
		m.stalled.Inc()
	}
	if d.HandshakeTime > 0 {
		m.answered.Observe(d.HandshakeTime.Seconds())
	}
	if d.ResponseTime > 0 {
		m.served.Observe(d.ResponseTime.Seconds())
	}
}

func (m *metrics) suspicion(kind passthrough.EventKind) {
	switch kind {
	case passthrough.TargetSuspected:
		m.suspected.Inc()
	case passthrough.TargetTrusted:
		m.trusted.Inc()
	case passthrough.TargetLapsed:
		m.lapsed.Inc()
	}
}

// countRead counts a read of what is published.
func (m *metrics) countRead(source string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.calls.WithLabelValues(source, result).Inc()
}

// show sets the gauges of what the core believes.
func (m *metrics) show(s *passthrough.Snapshot, newsAge time.Duration) {
	m.version.Set(float64(s.Version))
	m.newsAge.Set(newsAge.Seconds())
	m.flows.Set(float64(s.Flows))
	m.flowBytes.Set(float64(s.Flows * passthrough.FlowBytes))
	m.targets.Reset()
	for i := range s.Targets {
		m.targets.WithLabelValues(s.Targets[i].Lifecycle).Inc()
		if s.Targets[i].Suspected {
			m.targets.WithLabelValues("suspected").Inc()
		}
	}
}
