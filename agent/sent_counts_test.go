package agent

import (
	"reflect"
	"testing"

	"orchidjunction/message"
)

func TestMeteredTellsWhatChanged(test *testing.T) {
	metered := &sentCounts{}
	counts := func(ann, bob uint64) []message.WindowCount {
		return []message.WindowCount{{Window: 7, Tenants: map[string]uint64{"ann": ann, "bob": bob}}}
	}
	for number, step := range []struct {
		core    string
		windows []message.WindowCount
		process uint64
		want    []message.WindowCount
		upon    uint64
	}{
		{"a", counts(1, 2), 0, counts(1, 2), 0},
		{"a", counts(1, 2), 5, counts(1, 2), 0},
		{"a", counts(1, 2), 5, []message.WindowCount{}, 5},
		{"a", counts(1, 3), 5, []message.WindowCount{{Window: 7, Tenants: map[string]uint64{"bob": 3}}}, 5},
		{"b", counts(1, 3), 6, counts(1, 3), 0},
		{"b", counts(1, 4), 7, []message.WindowCount{{Window: 7, Tenants: map[string]uint64{"bob": 4}}}, 6},
		{"b", counts(1, 4), 7, counts(1, 4), 0},
		{"b", []message.WindowCount{{Window: 8, Tenants: map[string]uint64{"ann": 1}}}, 7, []message.WindowCount{{Window: 8, Tenants: map[string]uint64{"ann": 1}}}, 7},
	} {
		news, upon := metered.unsent(step.core, step.windows)
		if !reflect.DeepEqual(news, step.want) || upon != step.upon {
			test.Errorf("step %d: %v upon %d, want %v upon %d", number, news, upon, step.want, step.upon)
		}
		if step.process != 0 {
			metered.accepted(news, step.process)
		}
	}
	if len(metered.sent) != 1 {
		test.Errorf("old windows are kept: %v", metered.sent)
	}
}
