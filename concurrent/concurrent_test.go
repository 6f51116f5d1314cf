package concurrent

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// A queue returns its items in order, rejects items above its capacity, and returns none once it
// is closed.
func TestQueueIsBoundedAndOrdered(test *testing.T) {
	queue := NewQueue[int](3)
	for item := range 3 {
		if !queue.Put(item) {
			test.Errorf("item %d is rejected", item)
		}
	}
	if queue.Put(3) {
		test.Error("an item above the capacity is accepted")
	}
	if first := queue.Take(2); len(first) != 2 || first[0] != 0 || first[1] != 1 {
		test.Errorf("took %v", first)
	}
	if !queue.Put(4) {
		test.Error("an item is rejected after others were taken")
	}
	if rest := queue.Take(5); len(rest) != 2 || rest[0] != 2 || rest[1] != 4 {
		test.Errorf("took %v", rest)
	}
	queue.Put(5)
	queue.Close()
	if queue.Put(6) || queue.Take(1) != nil {
		test.Error("a closed queue returns or accepts items")
	}
}

// Sleep lasts for its duration, or until the group is stopped.
func TestSleepEndsOnStop(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		group := NewGroup()
		start := time.Now()
		if !group.Sleep(time.Second) || time.Since(start) != time.Second {
			test.Errorf("slept %v", time.Since(start))
		}
		calls := 0
		group.Every(Fixed(time.Second), func() { calls++ })
		group.Start(func() {
			group.Sleep(3500 * time.Millisecond)
			group.Stop()
		})
		start = time.Now()
		if group.Sleep(time.Hour) || time.Since(start) != 3500*time.Millisecond {
			test.Errorf("slept %v, want until Stop after 3.5 s", time.Since(start))
		}
		group.Wait()
		if calls != 3 {
			test.Errorf("%d periodic calls, want 3", calls)
		}
		stopped := false
		group.OnStop(func() { stopped = true })
		if !stopped {
			test.Error("a hook registered after the stop is not called")
		}
	})
}

// Wait returns for a notification between Count and Wait, and otherwise after its time-out.
func TestConditionMissesNoNotification(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		condition := NewCondition()
		seen := condition.Count()
		condition.Notify()
		if !condition.Wait(seen, time.Second) {
			test.Error("a notification before the wait is lost")
		}
		start := time.Now()
		if condition.Wait(condition.Count(), time.Second) || time.Since(start) != time.Second {
			test.Errorf("waited %v without a notification, want 1 s and false", time.Since(start))
		}
	})
}

// Gather returns as soon as it has enough results, or otherwise all results and errors.
func TestGatherReturnsOnEnoughResults(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		group := NewGroup()
		failure := errors.New("odd indices fail")
		call := func(index int) (int, error) {
			time.Sleep(time.Duration(index) * time.Second)
			if index%2 == 1 {
				return 0, failure
			}
			return index, nil
		}
		start := time.Now()
		results, errs := Gather(group, 5, call, func(results map[int]int, _ map[int]error) bool { return len(results) == 2 })
		if len(results) != 2 || len(errs) != 1 || time.Since(start) != 2*time.Second {
			test.Errorf("%d results and %d errors after %v", len(results), len(errs), time.Since(start))
		}
		results, errs = Gather(group, 4, call, func(map[int]int, map[int]error) bool { return false })
		if len(results) != 2 || results[2] != 2 || !errors.Is(errs[3], failure) {
			test.Errorf("results %v and errors %v", results, errs)
		}
		group.Wait()
	})
}

// A lock has one holder at a time, even while the holder sleeps.
func TestLockExcludesWhileHolderSleeps(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		group, lock := NewGroup(), NewLock()
		holders, maxHolders := 0, 0
		start := time.Now()
		for range 3 {
			group.Start(func() {
				lock.Lock()
				defer lock.Unlock()
				holders++
				maxHolders = max(maxHolders, holders)
				time.Sleep(time.Second)
				holders--
			})
		}
		group.Wait()
		if maxHolders != 1 || time.Since(start) != 3*time.Second {
			test.Errorf("%d concurrent holders, %v in total", maxHolders, time.Since(start))
		}
	})
}
