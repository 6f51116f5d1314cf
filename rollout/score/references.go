package score

import "sync"

// References are the references of all routes of a proxy. They are safe for concurrent use.
type References struct {
	mutex   sync.Mutex
	routes  map[Key]*reference
	scratch []weightedObservation
}

// NewReferences returns an empty set of references.
func NewReferences() *References {
	return &References{routes: map[Key]*reference{}, scratch: make([]weightedObservation, 0, ReferenceSize)}
}

// Add adds an item of the old version from a backend.
func (references *References) Add(key Key, item Item, backend uint32) {
	references.mutex.Lock()
	defer references.mutex.Unlock()
	found := references.routes[key]
	if found == nil {
		found = &reference{}
		references.routes[key] = found
	}
	found.add(newObservation(&item, backend))
}

// Judge scores an item of the version under test.
func (references *References) Judge(key Key, item Item) Judgement {
	references.mutex.Lock()
	defer references.mutex.Unlock()
	found := references.summarized(key)
	if found == nil {
		return Judgement{Failed: item.Failed}
	}
	return Judgement{Exceeds: found.exceeds(&item), Failed: found.failed(&item)}
}

// Failed reports whether an item of the old version counts as failed.
func (references *References) Failed(key Key, item Item) bool {
	if item.Failed || !item.isLate() {
		return item.Failed
	}
	references.mutex.Lock()
	defer references.mutex.Unlock()
	found := references.summarized(key)
	return found != nil && found.failed(&item)
}

// summarized returns the reference of key with an up-to-date summary, nil if there is none.
func (references *References) summarized(key Key) *reference {
	found := references.routes[key]
	if found != nil && found.isStale() {
		references.scratch = found.summarize(references.scratch[:0])
	}
	return found
}

// Len returns the number of references.
func (references *References) Len() int {
	references.mutex.Lock()
	defer references.mutex.Unlock()
	return len(references.routes)
}

// Retain deletes the references for which keep returns false.
func (references *References) Retain(keep func(Key) bool) {
	references.mutex.Lock()
	defer references.mutex.Unlock()
	for key := range references.routes {
		if !keep(key) {
			delete(references.routes, key)
		}
	}
}
