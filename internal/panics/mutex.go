package panics

import "sync"

// Mutex guards state that a panic may leave half changed. Unlock must be deferred, so
// that it notices the panic. The zero value is an unlocked mutex.
type Mutex struct {
	mu sync.Mutex
	// OnPanic is called with the value of a panic that leaves the state in doubt. It
	// must not lock the mutex. It does not change after the first Lock.
	OnPanic func(value any)
}

// Lock locks the mutex.
func (m *Mutex) Lock() { m.mu.Lock() }

// Unlock unlocks the mutex. During a panic it calls OnPanic, and the panic goes on.
func (m *Mutex) Unlock() {
	value := recover()
	if value != nil && m.OnPanic != nil {
		m.OnPanic(value)
	}
	m.mu.Unlock()
	if value != nil {
		panic(value)
	}
}
