package hostproxy

import "sync"

const (
	// defaultBodyMemory is the memory for bodies, in bytes, where the machine's is not known.
	defaultBodyMemory = 96 << 20
	// bodyMemoryShare is the part of a machine's memory that bodies may take. The rest is for
	// all else, and for what the garbage collector has not freed yet.
	bodyMemoryShare = 0.45
	// A body of up to smallBodyBytes may also take what is kept free of larger ones, a part
	// 1/smallBodyShare: small requests are refused last.
	smallBodyBytes = 64 << 10
	smallBodyShare = 16
)

// bodyMemory bounds the bytes of requests' bodies that the process holds, from before they
// are read until their requests have ended and no backend is owed any of them.
type bodyMemory struct {
	limit int64

	mutex sync.Mutex
	held  int64
}

// newBodyMemory returns the memory for bodies on a machine with so many bytes in all, 0 if
// that is not known.
func newBodyMemory(machine int64) *bodyMemory {
	if machine <= 0 {
		return &bodyMemory{limit: defaultBodyMemory}
	}
	return &bodyMemory{limit: int64(float64(machine) * bodyMemoryShare)}
}

// reserve takes bytes for a body that holds some already; false when there are not so many.
func (memory *bodyMemory) reserve(reserved, bytes int64) bool {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	available := memory.limit - memory.held
	if reserved+bytes > smallBodyBytes {
		available -= memory.limit / smallBodyShare
	}
	if bytes > available {
		return false
	}
	memory.held += bytes
	return true
}

func (memory *bodyMemory) release(bytes int64) {
	memory.mutex.Lock()
	memory.held -= bytes
	memory.mutex.Unlock()
}

// inUse returns how many bytes bodies hold now.
func (memory *bodyMemory) inUse() int64 {
	memory.mutex.Lock()
	defer memory.mutex.Unlock()
	return memory.held
}
