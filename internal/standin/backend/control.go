package backend

import (
	"encoding/json"
	"net/http"
	"time"

	"arbutusdock.example/arbutusdock/internal/standin/wire"
)

// sample is a health report as it was true at one time.
type sample struct {
	at     time.Time
	status string
	load   float64
}

// Control changes backend servers. Fields that are absent stay as they are.
type Control struct {
	Service string `json:"service"` // empty: all services
	Target  string `json:"target"`  // empty: all targets
	State   State  `json:"state"`
	// HealthLagMS lets the health endpoint report the past.
	HealthLagMS *int `json:"health_lag_ms"`
	// Lie is a status to report instead of the true one; "true" ends the lie.
	StatusOverride string `json:"lie"`
	// Cold starts the cold period, in which requests take three times as long.
	ColdStart bool `json:"cold"`
	// Mute lets the feeds that are open now stay open and send nothing more.
	MuteFeeds bool `json:"mute"`
}

func (s *Server) control(c Control) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.State != "" && c.State != s.state {
		s.state, s.since = c.State, time.Now()
	}
	if c.HealthLagMS != nil {
		s.lag = time.Duration(*c.HealthLagMS) * time.Millisecond
	}
	switch c.StatusOverride {
	case "":
	case "true":
		s.lie = ""
	default:
		s.lie = c.StatusOverride
	}
	if c.ColdStart {
		s.cold = time.Now().Add(s.group.opt.ColdPeriod)
	}
	if c.MuteFeeds {
		for _, o := range s.observers {
			o.muted = true
		}
	}
}

func (g *Group) control(w http.ResponseWriter, r *http.Request) {
	var c Control
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	found := false
	for _, s := range g.servers {
		if (c.Service == "" || c.Service == s.service) && (c.Target == "" || c.Target == string(s.target.Name)) {
			s.control(c)
			found = true
		}
	}
	if !found {
		http.Error(w, "no such target", http.StatusNotFound)
	}
}

// current returns the true state; the caller holds s.mu.
func (s *Server) current(now time.Time) sample {
	status := map[State]string{Serving: "ok", Draining: "draining", Stopped: "failing"}[s.state]
	return sample{at: now, status: status, load: min(1, float64(s.running)/float64(max(1, s.target.Slots)))}
}

func (s *Server) sample(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, s.current(now))
	if len(s.history) > samples {
		s.history = s.history[len(s.history)-samples:]
	}
}

// report is what the health endpoint says: the state of lag ago, or a lie.
func (s *Server) report(now time.Time) sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.current(now)
	if s.lag > 0 {
		for _, h := range s.history {
			if h.at.After(now.Add(-s.lag)) {
				break
			}
			r = h
		}
	}
	if s.lie != "" {
		r.status = s.lie
	}
	return r
}

func (g *Group) health(w http.ResponseWriter, r *http.Request) {
	for _, s := range g.servers {
		if s.service != r.PathValue("service") || string(s.target.Name) != r.PathValue("target") {
			continue
		}
		h := s.report(time.Now())
		s.mu.Lock()
		silent := s.state == Stopped && s.lie == "" && s.lag == 0
		s.mu.Unlock()
		if silent {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"status": h.status, "load": h.load}) // the client has gone if this fails
		return
	}
	http.NotFound(w, r)
}

// Counts returns what all servers have counted.
func (g *Group) Counts() wire.BackendCounts {
	c := wire.BackendCounts{Targets: map[string]wire.TargetCounts{}, Executions: g.ledger.copy()}
	for _, s := range g.servers {
		s.mu.Lock()
		t := s.counts
		t.Feeds = len(s.observers)
		s.mu.Unlock()
		c.Targets[s.service+"/"+string(s.target.Name)] = t
	}
	return c
}

func (g *Group) counts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(g.Counts()) // the client has gone if this fails
}
