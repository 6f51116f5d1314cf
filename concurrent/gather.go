package concurrent

import (
	"maps"
	"sync"
)

// Gather runs call concurrently for the indices from 0 to count-1. It returns the results and
// errors by index as soon as enough returns true or all calls have ended. Calls in flight are not
// cancelled; they end by their own time-outs.
func Gather[T any](
	group *Group,
	count int,
	call func(index int) (T, error),
	enough func(results map[int]T, errs map[int]error) bool,
) (map[int]T, map[int]error) {
	state := &gatherState[T]{results: map[int]T{}, errs: map[int]error{}}
	state.cond = sync.NewCond(&state.mutex)
	for index := range count {
		group.Start(func() {
			result, err := call(index)
			state.add(index, result, err)
		})
	}
	return state.wait(count, enough)
}

// gatherState contains the results and errors that one Gather has collected so far.
type gatherState[T any] struct {
	mutex   sync.Mutex
	cond    *sync.Cond
	results map[int]T
	errs    map[int]error
}

func (state *gatherState[T]) add(index int, result T, err error) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if err != nil {
		state.errs[index] = err
	} else {
		state.results[index] = result
	}
	state.cond.Broadcast()
}

// wait returns copies, because calls in flight still add their results.
func (state *gatherState[T]) wait(count int, enough func(map[int]T, map[int]error) bool) (map[int]T, map[int]error) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	for len(state.results)+len(state.errs) < count && !enough(state.results, state.errs) {
		state.cond.Wait()
	}
	return maps.Clone(state.results), maps.Clone(state.errs)
}
