package flow

import "arbutusdock.example/arbutusdock/internal/ids"

// Table holds the feeds of one instance. Sweep visits them in a fixed order, so that
// decisions do not depend on map iteration order.
type Table struct {
	feeds  map[Key]*Feed
	flows  map[ids.FlowKey]*flowState
	list   []*Feed
	cursor int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{feeds: make(map[Key]*Feed), flows: make(map[ids.FlowKey]*flowState)}
}

// Len returns the number of feeds.
func (t *Table) Len() int { return len(t.list) }

// Get returns the feed with key k, or nil.
func (t *Table) Get(k Key) *Feed { return t.feeds[k] }

// HasFlow reports whether a feed of the flow exists.
func (t *Table) HasFlow(k ids.FlowKey) bool { return t.flows[k] != nil }

// Add adds a feed with key k, which must not be in the table. request is the
// datagram of the registration request; Add copies it.
func (t *Table) Add(now ids.Time, k Key, request []byte) *Feed {
	f := &Feed{Key: k, Request: append([]byte(nil), request...), index: len(t.list), Created: now, LastNotification: now, LastConfirmable: now}
	state := t.flows[k.FlowKey]
	if state == nil {
		state = &flowState{nextID: initialID(now)}
		t.flows[k.FlowKey] = state
	}
	state.feeds++
	f.flow = state
	t.feeds[k] = f
	t.list = append(t.list, f)
	return f
}

// Remove removes f if it is in the table.
func (t *Table) Remove(f *Feed) {
	if t.feeds[f.Key] != f {
		return
	}
	delete(t.feeds, f.Key)
	last := len(t.list) - 1
	t.list[f.index] = t.list[last]
	t.list[f.index].index = f.index
	t.list[last] = nil
	t.list = t.list[:last]
	if f.flow.feeds--; f.flow.feeds == 0 {
		delete(t.flows, f.FlowKey)
	}
}

// Sweep calls visit for the next n feeds, at most once per feed unless feeds are
// removed during the sweep. visit may remove the feed that it is called with.
func (t *Table) Sweep(n int, visit func(*Feed)) {
	for n = min(n, len(t.list)); n > 0 && len(t.list) > 0; n-- {
		if t.cursor >= len(t.list) {
			t.cursor = 0
		}
		f := t.list[t.cursor]
		visit(f)
		if t.cursor < len(t.list) && t.list[t.cursor] == f {
			t.cursor++
		}
	}
}
