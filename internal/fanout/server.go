package fanout

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"arbutusdock.example/arbutusdock/internal/follow"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/progress"
)

const (
	// heartbeatEvery is the longest pause between two messages to a follower.
	heartbeatEvery = 400 * time.Millisecond
	// writePause bounds the pauses in the writing of a message to a follower that
	// does not read.
	writePause = time.Second
	// writePiece is the size of the pieces in which a message is written, in bytes:
	// the progress of a slow link shows within writePause.
	writePiece = 32 << 10
	// partTargets is the number of targets in one message, about 100 bytes each: the
	// state is not encoded as a whole, since eight followers may ask at once.
	partTargets = 1000

	updatesPath   = "/v2/updates"   // WebSocket with CBOR: updates after a revision and a version
	instancesPath = "/v1/instances" // announces an instance and returns the ranking
)

// Server serves the state and the directory of this instance.
type Server struct {
	state     *State
	directory *Directory
	log       *slog.Logger
}

// NewServer returns a server for the interface between instances.
func NewServer(state *State, directory *Directory, log *slog.Logger) *Server {
	return &Server{state, directory, log}
}

// Register adds the handlers to mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+updatesPath, s.updates)
	mux.HandleFunc("GET "+instancesPath, s.instances)
}

// updates sends what a follower lacks, and what changes, until it leaves.
func (s *Server) updates(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	version, err2 := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil || err2 != nil {
		http.Error(w, "after must be a revision and version that of a configuration", http.StatusBadRequest)
		return
	}
	if _, _, ok := s.state.Since(after, version); !ok {
		// Whoever waited here would get everything as soon as it is known; after
		// a common start that is every instance.
		http.Error(w, "nothing is known yet", http.StatusServiceUnavailable)
		return
	}
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		s.log.Warn("follower-refused", "peer", r.RemoteAddr, "error", err)
		return
	}
	defer func() { _ = ws.CloseNow() }()
	// CloseRead ends the context when the follower leaves.
	ctx := ws.CloseRead(r.Context())
	heartbeat := time.NewTicker(heartbeatEvery)
	defer heartbeat.Stop()
	for {
		update, changed, _ := s.state.Since(after, version) // what is known stays known
		if err := send(ctx, ws, &update); err != nil {
			return // the follower reports the loss of its source
		}
		after = update.Revision
		switch {
		case update.Config != nil:
			version = update.Config.Version
		case update.ConfigDelta != nil:
			version = update.ConfigDelta.Version
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-heartbeat.C:
		}
	}
}

// send writes an update, one with many targets in parts. It takes targets off u.
func send(ctx context.Context, ws *websocket.Conn, u *follow.Update) error {
	for len(u.Targets) > partTargets {
		if err := sendMessage(ctx, ws, &follow.Update{More: true, Targets: u.Targets[:partTargets]}); err != nil {
			return err
		}
		u.Targets = u.Targets[partTargets:]
	}
	return sendMessage(ctx, ws, u)
}

func sendMessage(ctx context.Context, ws *websocket.Conn, u *follow.Update) error {
	data, err := cbor.Marshal(u)
	if err != nil {
		return err
	}
	ctx, monitor, stop := progress.Watch(ctx, writePause)
	defer stop()
	w, err := ws.Writer(ctx, websocket.MessageBinary)
	if err != nil {
		return err
	}
	monitor.Begin(writePause)
	for piece := range slices.Chunk(data, writePiece) {
		if _, err := w.Write(piece); err != nil {
			return err
		}
		monitor.Transferred(len(piece))
	}
	return w.Close()
}

// announcement is the query of an instance at a seed.
type announcement struct {
	dataCentre ids.DataCentre
	self       Instance
	leaving    bool
}

func (a *announcement) query() string {
	q := url.Values{"instance": {string(a.self.ID)}, "data_centre": {string(a.dataCentre)}, "address": {a.self.Address.String()}}
	if a.leaving {
		q.Set("leaving", "true")
	}
	return q.Encode()
}

// instances records the announcement of an instance and answers with the
// ranking of its data centre.
func (s *Server) instances(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	address, err := netip.ParseAddrPort(q.Get("address"))
	id, dc := q.Get("instance"), q.Get("data_centre")
	if err != nil || !ids.ValidName(id) || !ids.ValidName(dc) {
		http.Error(w, "instance, data_centre and address are needed", http.StatusBadRequest)
		return
	}
	if q.Get("leaving") == "true" {
		s.directory.Leave(ids.DataCentre(dc), ids.Instance(id))
	} else {
		s.directory.Announce(time.Now(), ids.DataCentre(dc), Instance{ids.Instance(id), address})
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the asking instance has left.
	_ = json.NewEncoder(w).Encode(s.directory.Ranking(time.Now(), ids.DataCentre(dc), ids.Instance(id)))
}
