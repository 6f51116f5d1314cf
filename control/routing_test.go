package control

import (
	"reflect"
	"testing"

	"orchidjunction/message"
	"orchidjunction/routing"
)

// The time of a zone's restoration is kept for a minute.
func TestEvacuateAndRestoreZone(test *testing.T) {
	state := &routing.State{}
	for number, step := range []struct {
		zone      string
		begin     bool
		at        int64
		evacuated []string
		restored  []routing.RestoredZone
	}{
		{"b", true, 1000, []string{"b"}, nil},
		{"a", true, 2000, []string{"a", "b"}, nil},
		{"b", false, 3000, []string{"a"}, []routing.RestoredZone{{Zone: "b", AtMs: 3000}}},
		{"a", false, 4000, []string{}, []routing.RestoredZone{{Zone: "b", AtMs: 3000}, {Zone: "a", AtMs: 4000}}},
		{"b", true, 5000, []string{"b"}, []routing.RestoredZone{{Zone: "b", AtMs: 3000}, {Zone: "a", AtMs: 4000}}},
		{"b", false, 63500, []string{}, []routing.RestoredZone{{Zone: "a", AtMs: 4000}, {Zone: "b", AtMs: 63500}}},
	} {
		if again := applyEvacuation(state, &message.EvacuateRequest{Zone: step.zone, Begin: !step.begin}, step.at); again != nil {
			test.Errorf("step %d: the opposite order changed the routing", number)
		}
		next := applyEvacuation(state, &message.EvacuateRequest{Zone: step.zone, Begin: step.begin}, step.at)
		if next == nil || len(next.Evacuated) != len(step.evacuated) ||
			len(step.evacuated) > 0 && !reflect.DeepEqual(next.Evacuated, step.evacuated) ||
			!reflect.DeepEqual(next.Restored, step.restored) {
			test.Fatalf("step %d: got %+v, want evacuated %v, restored %v", number, next, step.evacuated, step.restored)
		}
		state = next
	}
}
