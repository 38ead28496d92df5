package fabric

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/standin/platform"
)

// reorderDelay holds a reordered datagram back for longer than datagrams that
// follow it take.
const reorderDelay = 20 * time.Millisecond

// Faults are applied to every datagram in both directions.
type Faults struct {
	Loss               float64            `json:"loss"`      // probability
	Duplicate          float64            `json:"duplicate"` // probability
	Reorder            float64            `json:"reorder"`   // probability
	JitterMS           float64            `json:"jitter_ms"` // greatest extra delay
	DelayMS            map[string]float64 `json:"delay_ms"`  // one way, between callers and a data centre
	BlockedInstances   []string           `json:"cut_instances"`
	BlockedDataCentres []string           `json:"cut_data_centres"`
	// SplitDataCentres are cut off from all other data centres: their links stop.
	PartitionedDataCentres []string `json:"split_data_centres"`
	// MuteDataCentres send nothing to other data centres, but hear from them.
	OutboundBlockedDataCentres []string `json:"mute_data_centres"`
	// BreakLinks ends the connections that are open between data centres.
	ResetLinks  bool    `json:"break_links"`
	LinkDelayMS float64 `json:"between_ms"` // one way, on links between data centres
}

func (f *Faults) blocks(in platform.Instance) bool {
	return slices.Contains(f.BlockedInstances, in.ID) || slices.Contains(f.BlockedDataCentres, in.DataCentre)
}

// Counts are the datagrams seen so far.
type Counts struct {
	ToInstances int            `json:"to_instances"`
	ToCallers   int            `json:"to_callers"`
	Lost        int            `json:"lost"`
	Duplicated  int            `json:"duplicated"`
	Reordered   int            `json:"reordered"`
	Blocked     int            `json:"cut"`
	NoInstance  int            `json:"no_instance"` // no live instance in the list
	Stray       int            `json:"stray"`       // not from the service's address of a listed instance
	Sockets     int            `json:"sockets"`     // upstream sockets opened
	Instances   map[string]int `json:"instances"`   // datagrams sent to each instance
}

// forward passes a datagram to send once, twice or not at all, now or later.
// The datagram is copied when it is kept.
func (f *Fabric) applyFaults(dc string, datagram []byte, send func([]byte)) {
	f.mu.Lock()
	ft := &f.faults
	if ft.Loss > 0 && f.rng.Float64() < ft.Loss {
		f.counts.Lost++
		f.mu.Unlock()
		return
	}
	copies := 1
	if ft.Duplicate > 0 && f.rng.Float64() < ft.Duplicate {
		f.counts.Duplicated++
		copies = 2
	}
	var delays [2]time.Duration
	for i := range copies {
		ms := ft.DelayMS[dc]
		if ft.JitterMS > 0 {
			ms += f.rng.Float64() * ft.JitterMS
		}
		delays[i] = time.Duration(ms * float64(time.Millisecond))
		if ft.Reorder > 0 && f.rng.Float64() < ft.Reorder {
			f.counts.Reordered++
			delays[i] += reorderDelay
		}
	}
	f.mu.Unlock()
	for _, d := range delays[:copies] {
		if d == 0 {
			send(datagram)
			continue
		}
		kept := slices.Clone(datagram)
		time.AfterFunc(d, func() { send(kept) })
	}
}

// SetFaults replaces the faults in force.
func (f *Fabric) SetFaults(ft Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = ft
	if ft.ResetLinks {
		close(f.linkReset)
		f.linkReset = make(chan struct{})
	}
}

// Counts returns a copy of the counts.
func (f *Fabric) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.counts
	c.Instances = maps.Clone(c.Instances)
	return c
}

// Control returns the control interface: PUT /faults replaces all faults, GET
// /counts returns the counts.
func (f *Fabric) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var ft Faults
		if err := json.NewDecoder(r.Body).Decode(&ft); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f.SetFaults(ft)
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(f.Counts()) // the client has gone if this fails
	})
	return mux
}
