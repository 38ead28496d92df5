package core

import (
	"fmt"
	"time"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/member"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

const (
	// watchKey ranks the instances that watch the platform.
	watchKey = "config-watch"
	watchers = 2 // per data centre

	readRetry   = time.Second      // after a failed or stale read, plus jitter
	readTimeout = 90 * time.Second // a read without result by then is lost
	// quietFor is the time without a newer revision from a peer after which
	// an instance whose watchers are gone reads the platform itself.
	quietFor = 10 * time.Second
	// deltaEvery bounds the configuration requests to peers.
	deltaEvery = 500 * time.Millisecond
	// deltaBytes bounds one ConfigDelta on the control lane.
	deltaBytes = 32 << 10
)

// reader is the state of reading configuration.
type reader struct {
	watcher  bool
	reading  bool
	since    ids.Time
	next     ids.Time // no read before
	asked    ids.Time // last ConfigRequest
	newest   ids.Revision
	newestAt ids.Time // when a higher revision was last heard of
}

// Config handles the result of a read of the platform.
func (c *Core) Config(now ids.Time, e *ConfigEvent, out *Effects) {
	c.begin(now, out)
	r := &c.reader
	r.reading = false
	if e.Err != nil || e.Upto < c.store.Revision() {
		// Unavailable or stale: what is in force stays in force.
		r.next = c.now.Add(c.jitter(readRetry))
		return
	}
	documents := make([]config.Publication, 0, len(e.Documents))
	for _, d := range e.Documents {
		documents = append(documents, config.Publication{Key: d.Key, Revision: d.Revision, Value: d.Value})
	}
	changed, refused := c.store.Publish(documents, e.Upto)
	for _, f := range refused {
		c.log("config-refused", fmt.Sprintf("key=%s revision=%d error=%q", f.Key, f.Revision, f.Err))
	}
	c.joining.fresh = true
	c.apply(changed)
}

// jitter returns a time between d and 2d.
func (c *Core) jitter(d time.Duration) time.Duration {
	return d + time.Duration(c.rng.Int64N(int64(d)))
}

// apply brings changed services into force.
func (c *Core) apply(changed []ids.Service) {
	c.view.SetRevision(c.store.Revision())
	if len(changed) == 0 {
		return
	}
	c.generation++
	for _, name := range changed {
		resolved, ok := c.store.Resolved(name)
		s := c.services[name]
		if !ok {
			if s != nil {
				s.removed = true
				c.table.RemoveService(name)
				if c.routes != c.table {
					c.routes.RemoveService(name)
				}
				c.wake(s)
			}
			continue
		}
		c.install(resolved)
	}
	c.log("config-applied", fmt.Sprintf("revision=%d services=%d", c.store.Revision(), len(changed)))
}

// install brings a resolved service into force.
func (c *Core) install(r *config.Resolved) {
	name := r.Service.Name
	s := c.services[name]
	if s == nil {
		s = &service{name: name, hash: ids.Hash(string(name))}
		c.services[name] = s
	}
	s.configure(r, c.live)
	c.table.SetService(c.now, r)
	if c.routes != c.table {
		c.routes.SetService(c.now, r)
	}
	c.generation++
	c.wake(s)
}

// Instances handles the platform's list, which names addresses only.
func (c *Core) Instances(now ids.Time, e *InstancesEvent, out *Effects) {
	c.begin(now, out)
	seeds := make([]member.Seed, 0, len(e.Instances))
	for _, i := range e.Instances {
		if i.ID != c.self.ID {
			seeds = append(seeds, member.Seed{ID: i.ID, DataCentre: i.DataCentre, PeerAddr: i.PeerAddr})
		}
	}
	c.view.Listed(c.now, seeds)
}

// peerRevision handles the revision in a heartbeat.
func (c *Core) peerRevision(from ids.Instance, revision ids.Revision) {
	r := &c.reader
	if revision > r.newest {
		r.newest, r.newestAt = revision, c.now
	}
	own := c.store.Revision()
	if revision == own && own > 0 {
		c.joining.fresh = true
	}
	if revision > own && c.now.Sub(r.asked) >= deltaEvery {
		r.asked = c.now
		c.requestDelta(from)
	}
}

func (c *Core) requestDelta(from ids.Instance) {
	b := c.peer(nil)
	b.message.ConfigRequest = &peerwire.ConfigRequest{After: c.store.Revision()}
	c.send(from, b)
}

func (c *Core) configRequest(from ids.Instance, m *peerwire.ConfigRequest) {
	b := c.peer(nil)
	b.message.ConfigDelta = c.store.Delta(m.After, deltaBytes)
	c.send(from, b)
}

func (c *Core) configDelta(from ids.Instance, m *peerwire.ConfigDelta) {
	before := c.store.Revision()
	c.apply(c.store.Apply(m.Documents, m.Upto))
	if !m.More {
		c.joining.fresh = c.joining.fresh || c.store.Revision() > 0
		return
	}
	if c.store.Revision() > before {
		c.requestDelta(from)
	}
}

// readConfig starts the reads of the platform that are due: a watch at the
// watchers, single reads while joining or when the watchers are gone.
func (c *Core) readConfig() {
	r := &c.reader
	if r.reading && c.now.Sub(r.since) > readTimeout {
		r.reading = false
	}
	if r.reading || c.now < r.next || c.stop.phase >= lingering {
		return
	}
	state := c.view.State()
	switch {
	case state == peerwire.Serving && r.watcher:
		c.read(true)
	case state == peerwire.Joining && !c.joining.fresh && c.now.Sub(c.joining.since) > askPeersFirst:
		r.next = c.now.Add(c.jitter(readRetry))
		c.read(false)
	case !r.watcher && c.now.Sub(max(r.newestAt, c.joining.since)) > quietFor && c.watchersGone():
		r.next = c.now.Add(c.jitter(quietFor))
		c.read(false)
	}
}

func (c *Core) read(watch bool) {
	c.reader.reading, c.reader.since = true, c.now
	e := c.emit(WatchConfig)
	e.Revision, e.Watch = c.store.Revision(), watch
}

// watchersGone reports whether no instance that this one trusts watches: the
// watchers are chosen among the serving and trusted ones.
func (c *Core) watchersGone() bool { return len(c.view.Serving()) == 0 }

// chooseWatcher decides whether this instance watches the platform.
func (c *Core) chooseWatcher() {
	serving := c.view.Serving()
	nodes := make([]uint64, len(serving))
	for i, id := range serving {
		nodes[i] = ids.Hash(string(id))
	}
	c.reader.watcher = false
	for _, i := range ids.Rank(nil, nodes, ids.Hash(watchKey), watchers) {
		c.reader.watcher = c.reader.watcher || serving[i] == c.self.ID
	}
}
