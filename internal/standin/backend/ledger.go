package backend

import (
	"maps"
	"sync"

	"arbutusdock.example/arbutusdock/internal/standin/wire"
)

// ledger counts executions by request id for all servers of a group. It is
// what the callers would find in the application's own records.
type ledger struct {
	mu   *sync.Mutex
	runs map[string]wire.ExecutionCounts
	ops  map[string]int // executions by operation
}

func newLedger() ledger {
	return ledger{mu: &sync.Mutex{}, runs: map[string]wire.ExecutionCounts{}, ops: map[string]int{}}
}

func (l *ledger) change(id string, f func(*wire.ExecutionCounts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runs[id]
	f(&r)
	l.runs[id] = r
}

func (l *ledger) begin(id wire.ID, post bool) {
	l.change(id.String(), func(r *wire.ExecutionCounts) { r.Count++; r.Post = post })
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ops[id.OperationID()]++
}

func (l *ledger) end(id wire.ID) { l.change(id.String(), func(r *wire.ExecutionCounts) { r.Ended++ }) }
func (l *ledger) block(id wire.ID) {
	l.change(id.String(), func(r *wire.ExecutionCounts) { r.Blocks++ })
}

// ran reports whether any attempt of the operation was executed.
func (l *ledger) ran(op string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ops[op] > 0
}

func (l *ledger) copy() map[string]wire.ExecutionCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.runs)
}
