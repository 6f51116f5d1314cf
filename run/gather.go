package run

import "sync"

// Gather calls ask for each index from 0 to count-1 concurrently. It returns the
// results and the errors by index as soon as enough returns true or all calls have
// ended. Calls still under way are not cancelled; they end by their own deadlines.
func Gather[T any](threads *Threads, count int, ask func(index int) (T, error), enough func(got map[int]T, failed map[int]error) bool) (map[int]T, map[int]error) {
	var mutex sync.Mutex
	wake := sync.NewCond(&mutex)
	got, failed := map[int]T{}, map[int]error{}
	for index := range count {
		threads.Start(func() {
			value, err := ask(index)
			mutex.Lock()
			if err != nil {
				failed[index] = err
			} else {
				got[index] = value
			}
			wake.Broadcast()
			mutex.Unlock()
		})
	}
	mutex.Lock()
	defer mutex.Unlock()
	for len(got)+len(failed) < count && !enough(got, failed) {
		wake.Wait()
	}
	gotNow, failedNow := make(map[int]T, len(got)), make(map[int]error, len(failed))
	for index, value := range got {
		gotNow[index] = value
	}
	for index, err := range failed {
		failedNow[index] = err
	}
	return gotNow, failedNow
}
