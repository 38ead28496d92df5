package capacity

import (
	"errors"
	"slices"

	"arbutusdock.example/arbutusdock/internal/core"
	"arbutusdock.example/arbutusdock/internal/ids"
)

var errPlatformDown = errors.New("platform is unreachable")

// publish stores a new version of a document, answers the pending watches unless
// the platform is down, and returns the new revision.
func (f *fleet) publish(key string, value []byte) ids.Revision {
	f.revision++
	f.documents = slices.DeleteFunc(f.documents, func(d core.Publication) bool { return d.Key == key })
	f.documents = append(f.documents, core.Publication{Key: key, Revision: f.revision, Value: value})
	if f.platformDown {
		return f.revision
	}
	pending := f.watches
	f.watches = nil
	for _, w := range pending {
		f.sendConfig(w.node, w.afterRevision)
	}
	return f.revision
}

// readConfig handles a read of the configuration. If wait is true it is a watch,
// which is answered when there is a newer revision or the watch expires.
func (f *fleet) readConfig(n *fleetNode, after ids.Revision, wait bool) {
	f.platformReads++
	if f.platformDown {
		f.schedule(platformDelay, func() {
			f.invoke(n, func(out *core.Effects) { n.core.HandleConfig(f.now, &core.ConfigEvent{Err: errPlatformDown}, out) })
		})
		return
	}
	if wait && after >= f.revision {
		f.watches = append(f.watches, watch{n, after, f.now.Add(watchTimeout)})
		return
	}
	f.sendConfig(n, after)
}

// sendConfig delivers the documents newer than revision after to an instance.
func (f *fleet) sendConfig(n *fleetNode, after ids.Revision) {
	e := &core.ConfigEvent{Revision: f.revision}
	for _, d := range f.documents {
		if d.Revision > after {
			e.Documents = append(e.Documents, d)
		}
	}
	f.schedule(platformDelay, func() {
		f.invoke(n, func(out *core.Effects) { n.core.HandleConfig(f.now, e, out) })
	})
}

// expireWatches answers the watches that expire at or before the given time.
func (f *fleet) expireWatches(at ids.Time) {
	f.watches = slices.DeleteFunc(f.watches, func(w watch) bool {
		if w.expires <= at {
			f.sendConfig(w.node, w.afterRevision)
			return true
		}
		return false
	})
}
