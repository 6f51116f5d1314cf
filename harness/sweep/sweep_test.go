package sweep

import (
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const digest = `core-1 ended by itself
day                  own/srv  score
sweep-30              30/297   0.90  0.901

middle / busiest or longest, by own machines
                                                          30             100             300  power  at null
core: processor %                                 0.76 / 3.0       3.8 / 5.2     13.8 / 17.7   0.77  -
config in force, ms                               0.00 / 330     34.0 / 61.0      139 / 1308   0.57  -
proxy: wake-ups a second                         48.6 / 75.1     43.6 / 51.3     44.2 / 47.8   -0.2  -
power: the busiest grows as machines to this power
`

func entryOf(change func(fields map[string]any)) []byte {
	fields := map[string]any{
		"id": "e98d", "at": []string{"2026-12-02T11:50:44Z", ""}, "cmd": "sweep", "site": "grid", "head": "fb19f06084d4",
		"days": []map[string]any{{"name": "sweep-30", "G": 0.9012, "served": 0.9653}}, "digest": digest,
	}
	change(fields)
	body, _ := json.Marshal(fields) // a map of texts and numbers
	return body
}

// A sweep's entry is read whole, and carried on to the target size by each row's power.
func TestSweepIsReadAndCarriedOn(test *testing.T) {
	sweep, err := Parse(entryOf(func(map[string]any) {}))
	if err != nil {
		test.Fatal(err)
	}
	if len(sweep.Sizes) != 3 || sweep.Sizes[2] != 300 || len(sweep.Rows) != 3 {
		test.Fatalf("%+v", sweep)
	}
	row := sweep.Rows[1]
	if row.Name != "config in force, ms" || row.Samples[2] != (Sample{139, 1308}) || row.Power != 0.57 {
		test.Errorf("%+v", row)
	}
	if sweep.Rows[2].Power != -0.2 {
		test.Errorf("%+v", sweep.Rows[2])
	}
	if got, want := row.At(30_000, 300), 1308*math.Pow(100, 0.57); math.Abs(got-want) > 1e-6 {
		test.Errorf("%v, want %v", got, want)
	}
	for _, wanted := range []string{"| 139 / 1308 | 0.57 |", "| sweep-30 | 0.901 | 0.965 |", "commit fb19f060.", "| 11,000 |"} {
		if !strings.Contains(sweep.Tables(), wanted) {
			test.Errorf("no %q in\n%s", wanted, sweep.Tables())
		}
	}
}

// What is no sweep's entry is refused with its reason.
func TestOtherEntriesAreRefused(test *testing.T) {
	for name, change := range map[string]func(fields map[string]any){
		"another command": func(fields map[string]any) { fields["cmd"] = "score" },
		"no table":        func(fields map[string]any) { fields["digest"] = "nothing" },
		"no time":         func(fields map[string]any) { fields["at"] = []string{} },
		"a size missing": func(fields map[string]any) {
			fields["digest"] = strings.Replace(digest, "34.0 / 61.0      139 / 1308", "34.0 / 61.0", 1)
		},
	} {
		if _, err := Parse(entryOf(change)); err == nil {
			test.Errorf("%s is taken", name)
		}
	}
	if _, err := Parse([]byte("{")); err == nil {
		test.Error("half an entry is taken")
	}
	if _, err := Read(filepath.Join(test.TempDir(), "none.json")); err == nil {
		test.Error("no file is taken")
	}
}

// Only the place between the two lines changes.
func TestPageChangesInItsPlaceOnly(test *testing.T) {
	sweep, err := Parse(entryOf(func(map[string]any) {}))
	if err != nil {
		test.Fatal(err)
	}
	path := filepath.Join(test.TempDir(), "page.md")
	if err := os.WriteFile(path, []byte("before\n"+beginMark+"\nold\n"+endMark+"\nafter\n"), 0o600); err != nil {
		test.Fatal(err)
	}
	for range 2 {
		if err := WritePage(path, []*Sweep{sweep}); err != nil {
			test.Fatal(err)
		}
	}
	written, err := os.ReadFile(path)
	if err != nil {
		test.Fatal(err)
	}
	text := string(written)
	if !strings.HasPrefix(text, "before\n"+beginMark) || !strings.HasSuffix(text, endMark+"\nafter\n") || strings.Contains(text, "old") ||
		strings.Count(text, "core: processor") != 1 {
		test.Errorf("%s", text)
	}
	if err := os.WriteFile(path, []byte("no marks"), 0o600); err != nil {
		test.Fatal(err)
	}
	if WritePage(path, []*Sweep{sweep}) == nil {
		test.Error("a page without a place is written")
	}
}
