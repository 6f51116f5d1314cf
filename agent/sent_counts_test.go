package agent

import (
	"reflect"
	"testing"

	"orchidjunction/message"
)

func TestUnsentCountsAreDeltas(test *testing.T) {
	sent := &sentCounts{}
	windowCounts := func(ann, bob uint64) []message.WindowCount {
		return []message.WindowCount{{Window: 7, Tenants: map[string]uint64{"ann": ann, "bob": bob}}}
	}
	for number, step := range []struct {
		core    string
		windows []message.WindowCount
		process uint64
		want    []message.WindowCount
		base    uint64
	}{
		{"a", windowCounts(1, 2), 0, windowCounts(1, 2), 0},
		{"a", windowCounts(1, 2), 5, windowCounts(1, 2), 0},
		{"a", windowCounts(1, 2), 5, []message.WindowCount{}, 5},
		{"a", windowCounts(1, 3), 5, []message.WindowCount{{Window: 7, Tenants: map[string]uint64{"bob": 3}}}, 5},
		{"b", windowCounts(1, 3), 6, windowCounts(1, 3), 0},
		{"b", windowCounts(1, 4), 7, []message.WindowCount{{Window: 7, Tenants: map[string]uint64{"bob": 4}}}, 6},
		{"b", windowCounts(1, 4), 7, windowCounts(1, 4), 0},
		{"b", []message.WindowCount{{Window: 8, Tenants: map[string]uint64{"ann": 1}}}, 7, []message.WindowCount{{Window: 8, Tenants: map[string]uint64{"ann": 1}}}, 7},
	} {
		unsent, base := sent.unsent(step.core, step.windows)
		if !reflect.DeepEqual(unsent, step.want) || base != step.base {
			test.Errorf("step %d: %v based on %d, want %v based on %d", number, unsent, base, step.want, step.base)
		}
		if step.process != 0 {
			sent.acknowledge(unsent, step.process)
		}
	}
	if len(sent.sent) != 1 {
		test.Errorf("outdated windows are still stored: %v", sent.sent)
	}
}
