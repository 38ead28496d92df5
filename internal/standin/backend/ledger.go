package backend

import (
	"maps"
	"sync"

	"arbutusdock.example/arbutusdock/internal/standin/wire"
)

// executionCounter counts executions by request id for all servers of a group. It
// models the records of the application, in which callers can look up whether a
// request was executed.
type executionCounter struct {
	mu          *sync.Mutex
	byRequest   map[string]wire.ExecutionCounts
	byOperation map[string]int // number of executions by operation id
}

func newExecutionCounter() executionCounter {
	return executionCounter{mu: &sync.Mutex{}, byRequest: map[string]wire.ExecutionCounts{}, byOperation: map[string]int{}}
}

func (c *executionCounter) update(id string, f func(*wire.ExecutionCounts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.byRequest[id]
	f(&r)
	c.byRequest[id] = r
}

func (c *executionCounter) countStart(id wire.ID, post bool) {
	c.update(id.String(), func(r *wire.ExecutionCounts) { r.Count++; r.Post = post })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byOperation[id.OperationID()]++
}

func (c *executionCounter) countEnd(id wire.ID) {
	c.update(id.String(), func(r *wire.ExecutionCounts) { r.Ended++ })
}
func (c *executionCounter) countBlock(id wire.ID) {
	c.update(id.String(), func(r *wire.ExecutionCounts) { r.Blocks++ })
}

// hasRun reports whether an attempt of the operation was executed.
func (c *executionCounter) hasRun(op string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byOperation[op] > 0
}

func (c *executionCounter) snapshot() map[string]wire.ExecutionCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.byRequest)
}
