package experiment

import (
	"fmt"
	"strings"
	"time"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/core"
	"arbutusdock.example/arbutusdock/internal/ids"
)

// platform is the configuration service of the model.
type platform struct {
	cluster       *cluster
	lastPublished *config.Resolved   // the last publication
	documents     []core.Publication // latest version of each key
	revision      ids.Revision
	watches       []watch
}

// watch is a pending configuration watch of an instance.
type watch struct {
	node          *coreNode
	afterRevision ids.Revision
}

const platformDelay = 3 * time.Millisecond

// publish publishes the profile and the service of r, unless r is the last
// configuration published, and answers the pending watches.
func (p *platform) publish(r *config.Resolved) {
	if p.lastPublished == r {
		return
	}
	p.lastPublished = r
	p.revision++
	profile := core.Publication{Key: "profile/" + r.Profile.Name, Revision: p.revision, Value: []byte(profileText(&r.Profile))}
	p.revision++
	service := core.Publication{Key: "service/" + string(r.Service.Name), Revision: p.revision, Value: []byte(serviceText(&r.Service))}
	p.documents = []core.Publication{profile, service}
	pending := p.watches
	p.watches = nil
	for _, w := range pending {
		p.sendConfig(w.node, w.afterRevision)
	}
}

// readConfig answers a read at once, and a watch when there is a revision newer
// than after.
func (p *platform) readConfig(n *coreNode, after ids.Revision, wait bool) {
	if wait && after >= p.revision {
		p.watches = append(p.watches, watch{n, after})
		return
	}
	p.sendConfig(n, after)
}

func (p *platform) sendConfig(n *coreNode, after ids.Revision) {
	e := &core.ConfigEvent{Revision: p.revision}
	for _, d := range p.documents {
		if d.Revision > after {
			e.Documents = append(e.Documents, d)
		}
	}
	p.cluster.after(platformDelay, func() {
		n.invoke(func(now ids.Time, out *core.Effects) { n.core.HandleConfig(now, e, out) })
	})
}

// profileText returns a profile as the document that operators publish.
func profileText(p *config.Profile) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[spread]\nlong_share = %g\nlong_factor = %g\nslow_start_ms = %d\n\n",
		p.Spread.LongShare, p.Spread.LongFactor, p.Spread.SlowStart.Milliseconds())
	t := &p.Protect
	fmt.Fprintf(&b, "[protect]\ndeadline_ms = %d\nqueue_time_ms = %d\nqueue_length = %d\nretry_ratio = %g\nmax_feeds = %d\n",
		t.Deadline.Milliseconds(), t.QueueTime.Milliseconds(), t.QueueLength, t.RetryRatio, t.MaxFeeds)
	fmt.Fprintf(&b, "idempotent = [%q]\nretry_after_min_ms = %d\nretry_after_max_ms = %d\n",
		t.Idempotent[0], t.RetryAfterMin.Milliseconds(), t.RetryAfterMax.Milliseconds())
	for _, partner := range p.Partners {
		fmt.Fprintf(&b, "\n[[partner]]\nname = %q\nweight = %d\nhosts = [%q]\n", partner.Name, partner.Weight, partner.Hosts[0])
	}
	return b.String()
}

// serviceText returns a service as the document that operators publish.
func serviceText(s *config.Service) string {
	var b strings.Builder
	fmt.Fprintf(&b, "address = \"0.0.0.0\"\nport = %d\nprofile = %q\n", s.Port, s.Profile)
	for _, t := range s.Targets {
		fmt.Fprintf(&b, "\n[[target]]\nname = %q\ndata_centre = %q\naddress = %q\nhealth = %q\nslots = %d\n",
			t.Name, t.DataCentre, t.Address, t.Health, t.Slots)
	}
	return b.String()
}
