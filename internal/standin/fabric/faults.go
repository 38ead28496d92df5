package fabric

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"arbutusdock.example/arbutusdock/internal/standin/platform"
)

// reorderDelay is the extra delay of a reordered datagram. It is long enough for
// later datagrams to overtake it.
const reorderDelay = 20 * time.Millisecond

// Faults configures the injected faults. Probabilities, delays and blocks apply to
// datagrams between callers and instances in both directions.
type Faults struct {
	Loss               float64            `json:"loss"`             // probability
	Duplicate          float64            `json:"duplicate"`        // probability
	Reorder            float64            `json:"reorder"`          // probability
	JitterMS           float64            `json:"jitter_ms"`        // upper bound of the random extra delay
	DelayMS            map[string]float64 `json:"delay_ms"`         // one-way delay between callers and each data centre
	BlockedInstances   []string           `json:"cut_instances"`    // exchange no datagrams with callers
	BlockedDataCentres []string           `json:"cut_data_centres"` // their instances exchange no datagrams with callers
	// PartitionedDataCentres exchange no data with other data centres: their links
	// stay open but transfer nothing.
	PartitionedDataCentres []string `json:"split_data_centres"`
	// OutboundBlockedDataCentres send nothing to other data centres, but still
	// receive from them.
	OutboundBlockedDataCentres []string `json:"mute_data_centres"`
	// ResetLinks closes the open connections between data centres once.
	ResetLinks  bool    `json:"break_links"`
	LinkDelayMS float64 `json:"between_ms"` // one-way delay on links between data centres
}

func (f *Faults) blocks(in platform.Instance) bool {
	return slices.Contains(f.BlockedInstances, in.ID) || slices.Contains(f.BlockedDataCentres, in.DataCentre)
}

// Counts holds the numbers of datagrams handled so far.
type Counts struct {
	ToInstances int            `json:"to_instances"`
	ToCallers   int            `json:"to_callers"`
	Lost        int            `json:"lost"`
	Duplicated  int            `json:"duplicated"`
	Reordered   int            `json:"reordered"`
	Blocked     int            `json:"cut"`         // dropped because of BlockedInstances or BlockedDataCentres
	NoInstance  int            `json:"no_instance"` // dropped because the data centre had no live instance
	Stray       int            `json:"stray"`       // dropped replies that did not come from the service address of a listed instance
	Sockets     int            `json:"sockets"`     // upstream sockets opened so far
	Instances   map[string]int `json:"instances"`   // datagrams sent, by instance
}

// applyFaults calls send for a datagram once, twice or not at all, immediately or
// after a delay. A delayed datagram is copied.
func (f *Fabric) applyFaults(dc string, datagram []byte, send func([]byte)) {
	f.mu.Lock()
	faults := &f.faults
	if faults.Loss > 0 && f.rng.Float64() < faults.Loss {
		f.counts.Lost++
		f.mu.Unlock()
		return
	}
	copies := 1
	if faults.Duplicate > 0 && f.rng.Float64() < faults.Duplicate {
		f.counts.Duplicated++
		copies = 2
	}
	var delays [2]time.Duration
	for i := range copies {
		ms := faults.DelayMS[dc]
		if faults.JitterMS > 0 {
			ms += f.rng.Float64() * faults.JitterMS
		}
		delays[i] = time.Duration(ms * float64(time.Millisecond))
		if faults.Reorder > 0 && f.rng.Float64() < faults.Reorder {
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

// SetFaults replaces all configured faults.
func (f *Fabric) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	if faults.ResetLinks {
		close(f.linkReset)
		f.linkReset = make(chan struct{})
	}
}

// Counts returns a copy of the counters.
func (f *Fabric) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.counts
	c.Instances = maps.Clone(c.Instances)
	return c
}

// Control returns the handler of the control API: PUT /faults replaces all
// faults, GET /counts returns the counters.
func (f *Fabric) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var faults Faults
		if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		f.SetFaults(faults)
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(f.Counts()) // fails only if the client has disconnected
	})
	return mux
}
