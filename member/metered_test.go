package member

import (
	"reflect"
	"testing"

	"orchidjunction/wire"
)

func TestMeteredTellsWhatChanged(test *testing.T) {
	metered := &Metered{}
	first, second := wire.Ballot{Round: 1, Core: 1}, wire.Ballot{Round: 2, Core: 1}
	counts := func(ann, bob uint64) []wire.WindowCount {
		return []wire.WindowCount{{Window: 7, Tenants: map[string]uint64{"ann": ann, "bob": bob}}}
	}
	for number, step := range []struct {
		core    string
		ballot  wire.Ballot
		windows []wire.WindowCount
		lost    bool
		want    []wire.WindowCount
	}{
		{"a", first, counts(1, 2), true, counts(1, 2)},
		{"a", first, counts(1, 2), false, counts(1, 2)},
		{"a", first, counts(1, 2), false, []wire.WindowCount{}},
		{"a", first, counts(1, 3), false, []wire.WindowCount{{Window: 7, Tenants: map[string]uint64{"bob": 3}}}},
		{"b", first, counts(1, 3), false, counts(1, 3)},
		{"b", second, counts(1, 3), false, counts(1, 3)},
		{"b", second, []wire.WindowCount{{Window: 8, Tenants: map[string]uint64{"ann": 1}}}, false, []wire.WindowCount{{Window: 8, Tenants: map[string]uint64{"ann": 1}}}},
	} {
		news := metered.fresh(step.core, step.ballot, step.windows)
		if !reflect.DeepEqual(news, step.want) {
			test.Errorf("step %d: %v want %v", number, news, step.want)
		}
		if !step.lost {
			metered.took(news)
		}
	}
	if len(metered.told) != 1 {
		test.Errorf("old windows are kept: %v", metered.told)
	}
}
