package forwarder

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"arbutusdock.example/arbutusdock/internal/passthrough"
)

// metrics holds the Prometheus metrics of an instance. Durations are in seconds.
type metrics struct {
	registry                                 *prometheus.Registry
	malformed, readErrors, writeErrors       prometheus.Counter
	suspected, trusted, lapsed, restores     prometheus.Counter
	packets                                  [passthrough.NumReasons]prometheus.Counter
	adopted, repeatedData, openedElsewhere   prometheus.Counter
	forwardingTime, openingTime, requestTime prometheus.Histogram
	reads, checks                            *prometheus.CounterVec
	version, stateAge, currentAge            prometheus.Gauge
	flows, flowBytes                         prometheus.Gauge
	evacuations, extraDelay                  prometheus.Gauge
	targets, rejectedShare                   *prometheus.GaugeVec
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
	gaugeFunc := func(name, help string, read func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "arbutusdock_" + name, Help: help}, read))
	}
	m.malformed = counter("malformed_datagrams_total", "Datagrams that are not packets.")
	m.readErrors = counter("read_errors_total", "Failed reads of the datagram socket.")
	m.writeErrors = counter("write_errors_total", "Datagrams that could not be sent.")
	m.suspected = counter("targets_suspected_total", "Times that a target was suspected.")
	m.trusted = counter("targets_trusted_total", "Times that a suspected target showed that it is alive.")
	m.lapsed = counter("targets_lapsed_total", "Records missing after an outage of the platform.")
	m.restores = counter("platform_restores_total", "Times that the platform was restored from an older copy.")
	m.adopted = counter("flows_adopted_total", "Flows that came from another instance.")
	m.openedElsewhere = counter("flows_opened_elsewhere_total", "Flows opened by another target than the one chosen first.")
	m.repeatedData = counter("repeated_data_packets_total", "Packets with request data that the caller repeats.")
	packets := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "arbutusdock_packets_total", Help: "Packets of callers by the input that decided."}, []string{"reason"})
	m.registry.MustRegister(packets)
	for r := range passthrough.Reason(passthrough.NumReasons) {
		m.packets[r] = packets.WithLabelValues(r.String())
	}
	m.reads = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "arbutusdock_news_total", Help: "Reads of what is published, by source and result."}, []string{"source", "result"})
	m.checks = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "arbutusdock_checks_total", Help: "Health checks of suspected targets by result."}, []string{"result"})
	m.registry.MustRegister(m.reads, m.checks)
	m.forwardingTime = histogram("forwarding_seconds", "Time from reading a packet to having sent it.", 1e-6, 16)
	m.openingTime = histogram("opening_seconds", "Time from an opening packet to the caller's next packet.", 1e-3, 12)
	m.requestTime = histogram("request_seconds", "Time from a request to the first acknowledged byte of its answer.", 1e-3, 14)
	newGauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Name: "arbutusdock_" + name, Help: help})
		m.registry.MustRegister(g)
		return g
	}
	m.version = newGauge("config_version", "Version of the configuration in force, 0 for none.")
	m.stateAge = newGauge("news_age_seconds", "Time since what is published was last known to be complete.")
	m.currentAge = newGauge("news_current_age_seconds", "Time since what is known was certainly all that was published.")
	m.flows = newGauge("flows", "Flows remembered.")
	m.flowBytes = newGauge("flows_bytes", "Memory of the flows remembered.")
	m.targets = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "arbutusdock_targets", Help: "Targets by lifecycle; suspected ones count once more."}, []string{"state"})
	m.rejectedShare = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "arbutusdock_rejected_share", Help: "Share of the new flows that is rejected because requests miss their goals."}, []string{"service", "priority"})
	m.registry.MustRegister(m.targets, m.rejectedShare)
	gaugeFunc("ready", "1 while the instance is in rotation.", func() float64 {
		if f.serving() {
			return 1
		}
		return 0
	})
	gaugeFunc("isolated", "1 while no new flow reaches a target, so that the instance is out of rotation.", func() float64 {
		if f.isolated.Load() {
			return 1
		}
		return 0
	})
	gaugeFunc("platform_era", "Era of the platform's history, 0 if it reports none.", func() float64 { return float64(f.state.Position().Era) })
	gaugeFunc("targets_held", "Targets whose record is kept although a restored platform has an older one or none.", func() float64 { return float64(f.state.Held()) })
	m.evacuations = newGauge("data_centres_evacuated", "Data centres whose targets get no new flows because of an evacuation.")
	m.extraDelay = newGauge("extra_opening_delay_seconds", "Time after which an opening is sent to a second target, 0 if it is not.")
	gaugeFunc("log_lines_dropped", "Log lines lost since nobody read them.", func() float64 { return float64(f.logWriter.Stats().Dropped) })
	gaugeFunc("commands_dropped", "Updates that found the ring full; they are repeated.", func() float64 { return float64(f.commands.Stats().Dropped) })
	return m
}

// record updates the metrics for a decision and the time that it took.
func (m *metrics) record(d *passthrough.Decision, took time.Duration) {
	m.packets[d.Reason].Inc()
	m.forwardingTime.Observe(took.Seconds())
	if d.Adopted {
		m.adopted.Inc()
	}
	if d.OpenedElsewhere {
		m.openedElsewhere.Inc()
	}
	if d.StalledFor > 0 {
		m.repeatedData.Inc()
	}
	if d.HandshakeTime > 0 {
		m.openingTime.Observe(d.HandshakeTime.Seconds())
	}
	if d.ResponseTime > 0 {
		m.requestTime.Observe(d.ResponseTime.Seconds())
	}
}

func (m *metrics) countEvent(kind passthrough.EventKind) {
	switch kind {
	case passthrough.TargetSuspected:
		m.suspected.Inc()
	case passthrough.TargetTrusted:
		m.trusted.Inc()
	case passthrough.TargetLapsed:
		m.lapsed.Inc()
	}
}

// countRead counts a read of updates by its source and result.
func (m *metrics) countRead(source string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.reads.WithLabelValues(source, result).Inc()
}

// setGauges sets the gauges from a snapshot of the core.
func (m *metrics) setGauges(s *passthrough.Snapshot, stateAge time.Duration) {
	m.version.Set(float64(s.Version))
	m.stateAge.Set(stateAge.Seconds())
	m.currentAge.Set(s.CurrentAge.Seconds())
	m.flows.Set(float64(s.Flows))
	m.extraDelay.Set(s.ExtraDelay.Seconds())
	m.evacuations.Set(float64(len(s.Evacuations)))
	m.flowBytes.Set(float64(s.Flows * passthrough.FlowBytes))
	m.rejectedShare.Reset()
	for _, o := range s.Overload {
		m.rejectedShare.WithLabelValues(string(o.Service), strconv.Itoa(o.Priority)).Set(o.RejectedShare)
	}
	m.targets.Reset()
	for i := range s.Targets {
		m.targets.WithLabelValues(s.Targets[i].Lifecycle).Inc()
		if s.Targets[i].Suspected {
			m.targets.WithLabelValues("suspected").Inc()
		}
	}
}
