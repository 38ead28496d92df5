package core

import (
	"fmt"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/member"
	"arbutusdock.example/arbutusdock/internal/peerwire"
)

// maxDeltaBytes limits the size of one ConfigDelta on the control lane.
const maxDeltaBytes = 32 << 10

// HandleConfig handles the result of reading configuration documents from the
// platform.
func (c *Core) HandleConfig(now ids.Time, e *ConfigEvent, out *Effects) {
	c.begin(now, out)
	if e.Err != nil {
		c.configSyncer.Read(c.now, 0, false)
		return
	}
	documents := make([]config.Publication, 0, len(e.Documents))
	for _, d := range e.Documents {
		documents = append(documents, config.Publication{Key: d.Key, Revision: d.Revision, Value: d.Value})
	}
	// A stale read has no effect: the store keeps the highest revision of each
	// document.
	changed, refused := c.configStore.ApplyPublications(documents, e.Revision)
	for _, failure := range refused {
		c.log("config-refused", fmt.Sprintf("key=%s revision=%d error=%q", failure.Key, failure.Revision, failure.Err))
	}
	c.configSyncer.Read(c.now, e.Revision, true)
	c.applyServices(changed)
}

// applyServices applies the configuration of the changed services.
func (c *Core) applyServices(changed []ids.Service) {
	c.membership.SetRevision(c.configStore.Revision())
	if len(changed) == 0 {
		return
	}
	c.generation++
	for _, name := range changed {
		resolved, ok := c.configStore.Resolved(name)
		s := c.services[name]
		if !ok {
			if s != nil {
				s.removed = true
				c.slotTable.RemoveService(name)
				if c.routes != c.slotTable {
					c.routes.RemoveService(name)
				}
			}
			continue
		}
		c.installService(resolved)
	}
	c.log("config-applied", fmt.Sprintf("revision=%d services=%d", c.configStore.Revision(), len(changed)))
}

// installService applies the resolved configuration of one service.
func (c *Core) installService(r *config.Resolved) {
	name := r.Service.Name
	s := c.services[name]
	if s == nil {
		s = &service{name: name, hash: ids.Hash(string(name))}
		c.services[name] = s
	}
	s.configure(r, c.liveRequests)
	c.slotTable.SetService(c.now, r)
	if c.routes != c.slotTable {
		c.routes.SetService(c.now, r)
	}
	c.generation++
}

// HandleInstances handles the platform's list of instances. The list supplies
// only addresses to contact; the state of the instances comes from their own
// messages.
func (c *Core) HandleInstances(now ids.Time, e *InstancesEvent, out *Effects) {
	c.begin(now, out)
	seeds := make([]member.Seed, 0, len(e.Instances))
	for _, i := range e.Instances {
		if i.ID != c.self.ID {
			seeds = append(seeds, member.Seed{ID: i.ID, DataCentre: i.DataCentre, PeerAddr: i.PeerAddr})
		}
	}
	c.membership.SetPlatformSeeds(c.now, seeds)
}

func (c *Core) handleConfigRequest(from ids.Instance, m *peerwire.ConfigRequest) {
	b := c.newPeerMessage(nil)
	b.message.ConfigDelta = c.configStore.Delta(m.After, maxDeltaBytes)
	c.sendPeerMessage(from, b)
}

func (c *Core) handleConfigDelta(from ids.Instance, m *peerwire.ConfigDelta) {
	changed := c.configStore.ApplyDocuments(m.Documents, m.Upto)
	c.configSyncer.DeltaApplied(c.now, from)
	c.applyServices(changed)
}

// requestConfig sends the configuration request r of the syncer to a peer or to
// the platform.
func (c *Core) requestConfig(r config.Request) {
	if r.Kind == config.FetchFromPeer {
		b := c.newPeerMessage(nil)
		b.message.ConfigRequest = &peerwire.ConfigRequest{After: r.After}
		c.sendPeerMessage(r.Peer, b)
		return
	}
	e := c.emit(WatchConfig)
	e.Revision, e.Watch = r.After, r.Kind == config.WatchPlatform
}
