package stand

import (
	"fmt"
	"sort"
)

// Resends are the sends of a task after its first, as the backends saw them.
type Resends struct {
	All     int
	Most    int
	Outside []string
}

// CountResends looks at every ten seconds of sends and names those with more
// resends than a part of the first sends and a floor.
func CountResends(backends []Seen, fraction float64, floor int) Resends {
	arrivals := []Arrival{}
	for _, seen := range backends {
		arrivals = append(arrivals, seen.Arrivals...)
	}
	sort.Slice(arrivals, func(left, right int) bool { return arrivals[left].AtMs < arrivals[right].AtMs })
	known, again, found := map[string]bool{}, make([]bool, len(arrivals)), Resends{}
	tail, first, resent := 0, 0, 0
	for index, arrival := range arrivals {
		again[index] = known[arrival.Task]
		known[arrival.Task] = true
		if again[index] {
			found.All++
			resent++
		} else {
			first++
		}
		for arrivals[tail].AtMs <= arrival.AtMs-10_000 {
			if again[tail] {
				resent--
			} else {
				first--
			}
			tail++
		}
		found.Most = max(found.Most, resent)
		if float64(resent) > fraction*float64(first)+float64(floor) {
			found.Outside = append(found.Outside, fmt.Sprintf("%d resends beside %d first sends", resent, first))
		}
	}
	return found
}
