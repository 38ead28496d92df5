package backend

import (
	"maps"
	"sync"

	"arbutusdock.example/arbutusdock/internal/standin/wire"
)

// executionCounter counts executions by request id for all servers of a group. It
// stands for the records of the application, in which callers can look up whether
// a request was executed.
type executionCounter struct {
	mu          *sync.Mutex
	byRequest   map[string]wire.ExecutionCounts
	byOperation map[string]int // number of executions by operation id
}

func newExecutionCounter() executionCounter {
	return executionCounter{mu: &sync.Mutex{}, byRequest: map[string]wire.ExecutionCounts{}, byOperation: map[string]int{}}
}

func (l *executionCounter) update(id string, f func(*wire.ExecutionCounts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.byRequest[id]
	f(&r)
	l.byRequest[id] = r
}

func (l *executionCounter) countStart(id wire.ID, post bool) {
	l.update(id.String(), func(r *wire.ExecutionCounts) { r.Count++; r.Post = post })
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byOperation[id.OperationID()]++
}

func (l *executionCounter) countEnd(id wire.ID) {
	l.update(id.String(), func(r *wire.ExecutionCounts) { r.Ended++ })
}
func (l *executionCounter) countBlock(id wire.ID) {
	l.update(id.String(), func(r *wire.ExecutionCounts) { r.Blocks++ })
}

// hasRun reports whether an attempt of the operation was executed.
func (l *executionCounter) hasRun(op string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byOperation[op] > 0
}

func (l *executionCounter) snapshot() map[string]wire.ExecutionCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.byRequest)
}
