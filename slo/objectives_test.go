package slo

import (
	"os"
	"strings"
	"testing"
)

func TestObjectives(test *testing.T) {
	body, err := os.ReadFile("../examples/aims.yaml")
	if err != nil {
		test.Fatal(err)
	}
	documents, err := Read(body)
	if err != nil {
		test.Fatal(err)
	}
	reports := Evaluate(
		documents,
		map[string]uint64{
			"tasks_answered":               980,
			"tasks_replayed":               10,
			"tasks_refused":                10,
			"operator_changes":             5,
			"operator_refused_not_started": 1,
		},
	)
	if reports[0].Good != 990 || reports[0].Total != 1000 || reports[0].Met {
		test.Errorf("%+v", reports[0])
	}
	if reports[1].Good != 5 || reports[1].Total != 6 || reports[1].Met {
		test.Errorf("%+v", reports[1])
	}
	if noEvents := Evaluate(documents, nil); !noEvents[0].Met || noEvents[0].Left != 1 {
		test.Errorf("%+v", noEvents[0])
	}
	text := string(body)
	for _, replacement := range [][2]string{
		{"kind: SLO", "kind: Alert"},
		{"target: 0.995", "target: 1"},
		{"type: orchidjunction", "type: other"},
		{"budgetingMethod: Occurrences", "budgetingMethod: Timeslices"},
		{"kind: SLO", "kind: SLO\ncolour: red"},
		{"name: tasks-answered", "name: \"\""},
	} {
		if !strings.Contains(text, replacement[0]) {
			test.Fatalf("the example lacks %q", replacement[0])
		}
		if _, err := Read([]byte(strings.Replace(text, replacement[0], replacement[1], 1))); err == nil {
			test.Errorf("%q is accepted", replacement[1])
		}
	}
}
