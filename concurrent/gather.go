package concurrent

import (
	"maps"
	"sync"
)

// Gather makes the calls with the indices from 0 to count-1 concurrently. It returns the
// results and the errors by index as soon as enough returns true or all calls have ended.
// Calls still under way are not cancelled; they end by their own time-outs.
func Gather[T any](
	group *Group,
	count int,
	call func(index int) (T, error),
	enough func(results map[int]T, errs map[int]error) bool,
) (map[int]T, map[int]error) {
	gathering := &gathering[T]{results: map[int]T{}, errs: map[int]error{}}
	gathering.wake = sync.NewCond(&gathering.mutex)
	for index := range count {
		group.Start(func() {
			result, err := call(index)
			gathering.add(index, result, err)
		})
	}
	return gathering.wait(count, enough)
}

// gathering is what the calls of one Gather have returned so far.
type gathering[T any] struct {
	mutex   sync.Mutex
	wake    *sync.Cond
	results map[int]T
	errs    map[int]error
}

func (gathering *gathering[T]) add(index int, result T, err error) {
	gathering.mutex.Lock()
	defer gathering.mutex.Unlock()
	if err != nil {
		gathering.errs[index] = err
	} else {
		gathering.results[index] = result
	}
	gathering.wake.Broadcast()
}

// wait returns copies, since calls still under way go on adding.
func (gathering *gathering[T]) wait(count int, enough func(map[int]T, map[int]error) bool) (map[int]T, map[int]error) {
	gathering.mutex.Lock()
	defer gathering.mutex.Unlock()
	for len(gathering.results)+len(gathering.errs) < count && !enough(gathering.results, gathering.errs) {
		gathering.wake.Wait()
	}
	return maps.Clone(gathering.results), maps.Clone(gathering.errs)
}
