package core

import (
	"fmt"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/member"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

// deltaBytes bounds one ConfigDelta on the control lane.
const deltaBytes = 32 << 10

// Config handles the result of a read of the platform.
func (c *Core) HandleConfig(now ids.Time, e *ConfigEvent, out *Effects) {
	c.begin(now, out)
	if e.Err != nil {
		c.sync.Read(c.now, 0, false)
		return
	}
	documents := make([]config.Publication, 0, len(e.Documents))
	for _, d := range e.Documents {
		documents = append(documents, config.Publication{Key: d.Key, Revision: d.Revision, Value: d.Value})
	}
	// A stale platform changes nothing: the store keeps the highest revisions.
	changed, refused := c.store.ApplyPublications(documents, e.Revision)
	for _, f := range refused {
		c.log("config-refused", fmt.Sprintf("key=%s revision=%d error=%q", f.Key, f.Revision, f.Err))
	}
	c.sync.Read(c.now, e.Revision, true)
	c.apply(changed)
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
}

// Instances handles the platform's list, which names addresses only.
func (c *Core) HandleInstances(now ids.Time, e *InstancesEvent, out *Effects) {
	c.begin(now, out)
	seeds := make([]member.Seed, 0, len(e.Instances))
	for _, i := range e.Instances {
		if i.ID != c.self.ID {
			seeds = append(seeds, member.Seed{ID: i.ID, DataCentre: i.DataCentre, PeerAddr: i.PeerAddr})
		}
	}
	c.view.SetPlatformSeeds(c.now, seeds)
}

func (c *Core) configRequest(from ids.Instance, m *peerwire.ConfigRequest) {
	b := c.peer(nil)
	b.message.ConfigDelta = c.store.Delta(m.After, deltaBytes)
	c.send(from, b)
}

func (c *Core) configDelta(from ids.Instance, m *peerwire.ConfigDelta) {
	changed := c.store.ApplyDocuments(m.Documents, m.Upto)
	c.sync.DeltaApplied(c.now, from)
	c.apply(changed)
}

// requestConfig carries out what the syncer asks for.
func (c *Core) requestConfig(r config.Request) {
	if r.Kind == config.FetchFromPeer {
		b := c.peer(nil)
		b.message.ConfigRequest = &peerwire.ConfigRequest{After: r.After}
		c.send(r.Peer, b)
		return
	}
	e := c.emit(WatchConfig)
	e.Revision, e.Watch = r.After, r.Kind == config.WatchPlatform
}
