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
	"github.com/rotisserie/eris"

	"arbutusdock.example/arbutusdock/internal/follow"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/progress"
)

const (
	// heartbeatInterval is the longest time between two messages to a follower.
	heartbeatInterval = 400 * time.Millisecond
	// writeStallTimeout bounds the time for which the write of a message may stall,
	// for example when the follower does not read.
	writeStallTimeout = time.Second
	// writeChunkBytes is the size of the chunks in which a message is written. It is
	// small enough that a slow link completes a chunk within writeStallTimeout.
	writeChunkBytes = 32 << 10
	// maxMessageTargets bounds the number of targets in one message, at about 100
	// bytes each. The full state is not encoded at once, since eight followers may
	// request it at the same time.
	maxMessageTargets = 1000

	// updatesPath is a WebSocket with CBOR messages: updates after a position and a
	// configuration version.
	updatesPath   = "/v5/updates"
	instancesPath = "/v1/instances" // announces an instance and returns the ranking
)

// formerUpdatesPaths are the paths of former releases, the latest first. That of v4 sends
// held targets without what is published about them, that of v3 knows no evacuations and
// fewer fields of the configuration, and for that of v2 eras do not exist. They ignore
// fields that they do not know.
var formerUpdatesPaths = []string{"/v4/updates", "/v3/updates", "/v2/updates"}

// Server serves the state and the directory of this instance to other instances.
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
	mux.HandleFunc("GET "+updatesPath, s.serveUpdates)
	for _, path := range formerUpdatesPaths {
		mux.HandleFunc("GET "+path, s.serveUpdates)
	}
	mux.HandleFunc("GET "+instancesPath, s.serveInstances)
}

// parseQuery returns the query of a follower. One without an era gets that of this
// instance.
func (s *Server) parseQuery(r *http.Request) (q Query, err error) {
	values := r.URL.Query()
	q.Starting = values.Get("starting") == "true"
	q.FormerRelease = slices.Contains(formerUpdatesPaths, r.URL.Path)
	q.After.Era = s.state.Position().Era
	for name, field := range map[string]*uint64{"era": &q.After.Era, "after": &q.After.Revision, "version": &q.Version} {
		if name == "era" && !values.Has(name) {
			continue
		}
		if *field, err = strconv.ParseUint(values.Get(name), 10, 64); err != nil {
			return q, eris.Wrapf(err, "parameter %s", name)
		}
	}
	return q, nil
}

// serveUpdates sends a follower the changes since its position and version, then
// every further change, until it disconnects.
func (s *Server) serveUpdates(w http.ResponseWriter, r *http.Request) {
	q, err := s.parseQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if _, _, ok := s.state.Since(q); !ok {
		// A follower that waited here would receive the full state as soon as it is
		// available. When all instances start together, that would be all of them.
		http.Error(w, "nothing is known yet", http.StatusServiceUnavailable)
		return
	}
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		s.log.Warn("follower-refused", "peer", r.RemoteAddr, "error", err)
		return
	}
	defer func() { _ = ws.CloseNow() }()
	compressed := r.URL.Query().Get("compressed") == "true"
	// CloseRead cancels the context when the follower disconnects.
	ctx := ws.CloseRead(r.Context())
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		update, changed, _ := s.state.Since(q) // cannot fail: a state stays initialized
		if err := send(ctx, ws, &update, compressed); err != nil {
			s.state.neighbourLost()
			return // the follower logs the loss of its source
		}
		q.Starting = false
		if p := update.Position(); p.Compare(q.After) > 0 || update.Complete {
			q.After = p
		}
		switch {
		case update.Config != nil:
			q.Version = update.Config.Version
		case update.ConfigDelta != nil:
			q.Version = update.ConfigDelta.Version
		}
		select {
		case <-ctx.Done():
			s.state.neighbourLost()
			return
		case <-changed:
		case <-heartbeat.C:
		}
	}
}

// send writes an update, splitting the targets over several messages if there are
// many. It modifies u.Targets.
func send(ctx context.Context, ws *websocket.Conn, u *follow.Update, compressed bool) error {
	for len(u.Targets) > maxMessageTargets {
		if err := sendMessage(ctx, ws, &follow.Update{More: true, Targets: u.Targets[:maxMessageTargets]}, compressed); err != nil {
			return err
		}
		u.Targets = u.Targets[maxMessageTargets:]
	}
	return sendMessage(ctx, ws, u, compressed)
}

func sendMessage(ctx context.Context, ws *websocket.Conn, u *follow.Update, compressed bool) error {
	data, err := encode(u, compressed)
	if err != nil {
		return err
	}
	ctx, monitor, stop := progress.Watch(ctx, writeStallTimeout)
	defer stop()
	w, err := ws.Writer(ctx, websocket.MessageBinary)
	if err != nil {
		return err
	}
	monitor.Begin(writeStallTimeout)
	for chunk := range slices.Chunk(data, writeChunkBytes) {
		if _, err := w.Write(chunk); err != nil {
			return err
		}
		monitor.Transferred(len(chunk))
	}
	return w.Close()
}

// announcement is the request by which an instance announces itself, or its
// shutdown, to a seed.
type announcement struct {
	dataCentre ids.DataCentre
	self       Instance
	leaving    bool
	holdsState bool
	cutOff     bool // it cannot read the platform
	// wantsMembers is set to ask for the list of members, unless its version is members.
	wantsMembers bool
	members      uint64
}

func (a *announcement) query() string {
	q := url.Values{"instance": {string(a.self.ID)}, "data_centre": {string(a.dataCentre)}, "address": {a.self.Address.String()}}
	if a.leaving {
		q.Set("leaving", "true")
	}
	q.Set("state", strconv.FormatBool(a.holdsState))
	if a.cutOff {
		q.Set("cut_off", "true")
	}
	if a.wantsMembers {
		q.Set("members", strconv.FormatUint(a.members, 10))
	}
	return q.Encode()
}

// serveInstances records the announcement of an instance and responds with the
// ranking of its data centre.
func (s *Server) serveInstances(w http.ResponseWriter, r *http.Request) {
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
		// An instance of a former release, which does not say, is not chosen as a holder.
		s.directory.Announce(time.Now(), ids.DataCentre(dc), Instance{ids.Instance(id), address}, q.Get("state") == "true")
	}
	ranking := s.directory.Ranking(time.Now(), ids.DataCentre(dc), ids.Instance(id))
	if q.Get("state") == "false" {
		ranking.Holders = s.directory.Holders(ids.DataCentre(dc))
	}
	if q.Get("cut_off") == "true" {
		ranking.Fallbacks = s.directory.Fallbacks(ids.DataCentre(dc), ids.Instance(id))
	}
	if known := q.Get("members"); known != "" {
		list, version := s.directory.Members()
		ranking.MembersVersion = version
		if known != strconv.FormatUint(version, 10) {
			ranking.Members = list
		}
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the announcing instance has disconnected.
	_ = json.NewEncoder(w).Encode(ranking)
}
