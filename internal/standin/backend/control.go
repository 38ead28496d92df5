package backend

import (
	"encoding/json"
	"net/http"
	"time"

	"arbutusdock.example/arbutusdock/internal/standin/wire"
)

// healthSample is the health state at one time.
type healthSample struct {
	at     time.Time
	status string
	load   float64
}

// Control is the body of a control request, which changes the behaviour of backend
// servers. Absent fields change nothing.
type Control struct {
	Service string `json:"service"` // empty: all services
	Target  string `json:"target"`  // empty: all targets
	State   State  `json:"state"`
	// HealthLagMS is the age, in milliseconds, of the state that the health
	// endpoint reports.
	HealthLagMS *int `json:"health_lag_ms"`
	// StatusOverride is the status to report instead of the actual one; "true"
	// removes the override.
	StatusOverride string `json:"lie"`
	// ColdStart starts a cold period, in which requests take three times as long.
	ColdStart bool `json:"cold"`
	// MuteFeeds stops all notifications of the currently open feeds without closing
	// the feeds.
	MuteFeeds bool `json:"mute"`
}

func (s *Server) applyControl(c Control) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.State != "" && c.State != s.state {
		s.state, s.stateSince = c.State, time.Now()
	}
	if c.HealthLagMS != nil {
		s.healthLag = time.Duration(*c.HealthLagMS) * time.Millisecond
	}
	switch c.StatusOverride {
	case "":
	case "true":
		s.statusOverride = ""
	default:
		s.statusOverride = c.StatusOverride
	}
	if c.ColdStart {
		s.coldUntil = time.Now().Add(s.group.opt.ColdPeriod)
	}
	if c.MuteFeeds {
		for _, o := range s.observers {
			o.muted = true
		}
	}
}

func (g *Group) handleControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	found := false
	for _, s := range g.servers {
		if (c.Service == "" || c.Service == s.service) && (c.Target == "" || c.Target == string(s.target.Name)) {
			s.applyControl(c)
			found = true
		}
	}
	if !found {
		http.Error(w, "no such target", http.StatusNotFound)
	}
}

// currentHealth returns the actual health state; the caller holds s.mu.
func (s *Server) currentHealth(now time.Time) healthSample {
	status := map[State]string{Serving: "ok", Draining: "draining", Stopped: "failing"}[s.state]
	return healthSample{at: now, status: status, load: min(1, float64(s.usedSlots)/float64(max(1, s.target.Slots)))}
}

func (s *Server) sampleHealth(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.healthHistory = append(s.healthHistory, s.currentHealth(now))
	if len(s.healthHistory) > maxHealthSamples {
		s.healthHistory = s.healthHistory[len(s.healthHistory)-maxHealthSamples:]
	}
}

// reportedHealth returns the state that the health endpoint reports: the actual
// state healthLag ago, with the status replaced by statusOverride if set.
func (s *Server) reportedHealth(now time.Time) healthSample {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.currentHealth(now)
	if s.healthLag > 0 {
		for _, h := range s.healthHistory {
			if h.at.After(now.Add(-s.healthLag)) {
				break
			}
			r = h
		}
	}
	if s.statusOverride != "" {
		r.status = s.statusOverride
	}
	return r
}

func (g *Group) handleHealth(w http.ResponseWriter, r *http.Request) {
	for _, s := range g.servers {
		if s.service != r.PathValue("service") || string(s.target.Name) != r.PathValue("target") {
			continue
		}
		h := s.reportedHealth(time.Now())
		s.mu.Lock()
		silent := s.state == Stopped && s.statusOverride == "" && s.healthLag == 0
		s.mu.Unlock()
		if silent {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"status": h.status, "load": h.load}) // fails only if the client has disconnected
		return
	}
	http.NotFound(w, r)
}

// Counts returns the counters of all servers.
func (g *Group) Counts() wire.BackendCounts {
	c := wire.BackendCounts{Targets: map[string]wire.TargetCounts{}, Executions: g.executions.snapshot()}
	for _, s := range g.servers {
		s.mu.Lock()
		t := s.counts
		t.Feeds = len(s.observers)
		s.mu.Unlock()
		c.Targets[s.service+"/"+string(s.target.Name)] = t
	}
	return c
}

func (g *Group) handleCounts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(g.Counts()) // fails only if the client has disconnected
}
