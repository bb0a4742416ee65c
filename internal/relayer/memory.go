package relayer

import (
	"context"
	"sync"

	"github.com/oleanderpick/oleanderpick/pkg/budgeter"
)

const (
	// defaultMemoryBytes is the memory of an instance whose settings state none.
	defaultMemoryBytes = 512 << 20
	// budgetDivisor divides the memory into the part that bodies and kept answers may take, and
	// reserveDivisor divides that into the part which only small ones may use.
	budgetDivisor  = 5
	reserveDivisor = 4
	// smallBytes is the size of a small body or answer at most.
	smallBytes = 64 << 10
)

// budgetFor returns the budget of an instance by the memory that it has.
func budgetFor(memoryBytes int64) budgeter.Settings {
	if memoryBytes <= 0 {
		memoryBytes = defaultMemoryBytes
	}
	capacity := memoryBytes / budgetDivisor

	return budgeter.Settings{Capacity: capacity, Reserve: capacity / reserveDivisor, SmallBytes: smallBytes}
}

// memory is the memory that all requests share. It is safe for concurrent use.
type memory struct {
	mu       sync.Mutex
	budget   *budgeter.Budgeter
	lastID   uint64
	grantees map[uint64]chan struct{} // closed when the claim that waits is granted
}

func newMemory() *memory {
	return &memory{budget: budgeter.New(budgetFor(0)), grantees: map[uint64]chan struct{}{}}
}

// configure sets the memory that the instance has.
func (m *memory) configure(memoryBytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.notify(m.budget.Configure(budgetFor(memoryBytes)))
}

// open returns the share of a new request, which holds nothing yet.
func (m *memory) open() *memoryShare {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastID++

	return &memoryShare{memory: m, id: m.lastID}
}

// notify wakes the requests whose claims were granted. The caller must hold m.mu.
func (m *memory) notify(granted []uint64) {
	for _, id := range granted {
		close(m.grantees[id])
		delete(m.grantees, id)
	}
}

// memoryShare is what one request holds of the memory.
type memoryShare struct {
	memory *memory
	id     uint64
}

// try claims bytes if there is room for them now.
func (s *memoryShare) try(bytes int) bool {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()

	return s.memory.budget.TryClaim(s.id, int64(bytes))
}

// await claims bytes and waits for them. It returns the context's error if it ends before, and the
// request then holds nothing.
func (s *memoryShare) await(ctx context.Context, bytes int) error {
	s.memory.mu.Lock()
	if s.memory.budget.Claim(s.id, int64(bytes)) {
		s.memory.mu.Unlock()

		return nil
	}
	granted := make(chan struct{})
	s.memory.grantees[s.id] = granted
	s.memory.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		s.close()

		return ctx.Err()
	}
}

// usage returns how many bytes all requests hold, and how many bodies wait.
func (s *memoryShare) usage() (heldBytes int64, waiting int) {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()

	return s.memory.budget.Held(), s.memory.budget.Waiting()
}

// giveBack returns some of the bytes that the request holds.
func (s *memoryShare) giveBack(bytes int) {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	s.memory.notify(s.memory.budget.Return(s.id, int64(bytes)))
}

// close returns all that the request holds.
func (s *memoryShare) close() {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	delete(s.memory.grantees, s.id)
	s.memory.notify(s.memory.budget.Release(s.id))
}
