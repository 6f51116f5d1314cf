package score

import "sync"

// References are the references of all routes of a proxy. They may be used concurrently.
type References struct {
	mutex   sync.Mutex
	routes  map[Key]*reference
	scratch []weighted
}

// NewReferences returns references without items.
func NewReferences() *References {
	return &References{routes: map[Key]*reference{}, scratch: make([]weighted, 0, ReferenceSize)}
}

// Add adds an item of the old version. Backend identifies the backend that it came from.
func (references *References) Add(key Key, item Item, backend uint32) {
	references.mutex.Lock()
	defer references.mutex.Unlock()
	held := references.routes[key]
	if held == nil {
		held = &reference{}
		references.routes[key] = held
	}
	held.add(observe(&item, backend))
}

// Judge scores an item of the version under test.
func (references *References) Judge(key Key, item Item) Judgement {
	references.mutex.Lock()
	defer references.mutex.Unlock()
	held := references.summarized(key)
	if held == nil {
		return Judgement{Failed: item.Failed}
	}
	return Judgement{Exceeds: held.exceeds(&item), Failed: held.failed(&item)}
}

// Failed is whether an item of the old version counts as failed.
func (references *References) Failed(key Key, item Item) bool {
	if item.Failed || !item.isLate() {
		return item.Failed
	}
	references.mutex.Lock()
	defer references.mutex.Unlock()
	held := references.summarized(key)
	return held != nil && held.failed(&item)
}

// summarized returns a reference whose summary is up to date, nil if there is none.
func (references *References) summarized(key Key) *reference {
	held := references.routes[key]
	if held != nil && held.isStale() {
		references.scratch = held.summarize(references.scratch[:0])
	}
	return held
}

// Len returns how many references there are.
func (references *References) Len() int {
	references.mutex.Lock()
	defer references.mutex.Unlock()
	return len(references.routes)
}

// Keep forgets the references for which keep is false.
func (references *References) Keep(keep func(Key) bool) {
	references.mutex.Lock()
	defer references.mutex.Unlock()
	for key := range references.routes {
		if !keep(key) {
			delete(references.routes, key)
		}
	}
}
