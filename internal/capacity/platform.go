package capacity

import (
	"errors"
	"slices"

	"arbutusdock.example/arbutusdock/internal/core"
	"arbutusdock.example/arbutusdock/internal/ids"
)

var errDown = errors.New("platform cannot be reached")

// publish replaces a document and answers the watches.
func (f *fleet) publish(key string, value []byte) ids.Revision {
	f.revision++
	f.documents = slices.DeleteFunc(f.documents, func(d core.Publication) bool { return d.Key == key })
	f.documents = append(f.documents, core.Publication{Key: key, Revision: f.revision, Value: value})
	if f.down {
		return f.revision
	}
	pending := f.watches
	f.watches = nil
	for _, w := range pending {
		f.respond(w.n, w.after)
	}
	return f.revision
}

// read handles a read of the platform, or a watch that waits for a change.
func (f *fleet) read(n *fleetNode, after ids.Revision, wait bool) {
	f.reads++
	if f.down {
		f.after(platformDelay, func() {
			f.call(n, func(out *core.Effects) { n.core.HandleConfig(f.now, &core.ConfigEvent{Err: errDown}, out) })
		})
		return
	}
	if wait && after >= f.revision {
		f.watches = append(f.watches, watch{n, after, f.now.Add(watchWait)})
		return
	}
	f.respond(n, after)
}

func (f *fleet) respond(n *fleetNode, after ids.Revision) {
	e := &core.ConfigEvent{Revision: f.revision}
	for _, d := range f.documents {
		if d.Revision > after {
			e.Documents = append(e.Documents, d)
		}
	}
	f.after(platformDelay, func() {
		f.call(n, func(out *core.Effects) { n.core.HandleConfig(f.now, e, out) })
	})
}

// endWatches answers the watches that wait until at or before.
func (f *fleet) endWatches(at ids.Time) {
	f.watches = slices.DeleteFunc(f.watches, func(w watch) bool {
		if w.until <= at {
			f.respond(w.n, w.after)
			return true
		}
		return false
	})
}
