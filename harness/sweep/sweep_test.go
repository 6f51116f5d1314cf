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

func newEntry(change func(fields map[string]any)) []byte {
	fields := map[string]any{
		"id": "e98d", "at": []string{"2026-12-02T11:50:44Z", ""}, "cmd": "sweep", "site": "grid", "head": "fb19f06084d4",
		"days": []map[string]any{{"name": "sweep-30", "G": 0.9012, "served": 0.9653}}, "digest": digest,
	}
	change(fields)
	body, _ := json.Marshal(fields) // strings and numbers can be encoded
	return body
}

func TestParseAndExtrapolate(test *testing.T) {
	sweep, err := Parse(newEntry(func(map[string]any) {}))
	if err != nil {
		test.Fatal(err)
	}
	if len(sweep.Sizes) != 3 || sweep.Sizes[2] != 300 || len(sweep.Rows) != 3 {
		test.Fatalf("sizes and rows are %+v, want 3 of each", sweep)
	}
	row := sweep.Rows[1]
	if row.Name != "config in force, ms" || row.Samples[2] != (Sample{139, 1308}) || row.Exponent != 0.57 {
		test.Errorf("row 1 is %+v", row)
	}
	if sweep.Rows[2].Exponent != -0.2 {
		test.Errorf("row 2 is %+v, want exponent -0.2", sweep.Rows[2])
	}
	if got, want := row.Extrapolate(30_000, 300), 1308*math.Pow(100, 0.57); math.Abs(got-want) > 1e-6 {
		test.Errorf("extrapolated value is %v, want %v", got, want)
	}
	for _, want := range []string{"| 139 / 1308 | 0.57 |", "| sweep-30 | 0.901 | 0.965 |", "commit fb19f060.", "| 11,000 |"} {
		if !strings.Contains(sweep.Tables(), want) {
			test.Errorf("tables lack %q:\n%s", want, sweep.Tables())
		}
	}
}

func TestInvalidEntriesAreRejected(test *testing.T) {
	for name, change := range map[string]func(fields map[string]any){
		"another command": func(fields map[string]any) { fields["cmd"] = "score" },
		"no table":        func(fields map[string]any) { fields["digest"] = "nothing" },
		"no time":         func(fields map[string]any) { fields["at"] = []string{} },
		"a size missing": func(fields map[string]any) {
			fields["digest"] = strings.Replace(digest, "34.0 / 61.0      139 / 1308", "34.0 / 61.0", 1)
		},
	} {
		if _, err := Parse(newEntry(change)); err == nil {
			test.Errorf("entry with %s is accepted", name)
		}
	}
	if _, err := Parse([]byte("{")); err == nil {
		test.Error("a truncated entry is accepted")
	}
	if _, err := Read(filepath.Join(test.TempDir(), "none.json")); err == nil {
		test.Error("a missing file is accepted")
	}
}

func TestWritePageReplacesOnlyTheTables(test *testing.T) {
	sweep, err := Parse(newEntry(func(map[string]any) {}))
	if err != nil {
		test.Fatal(err)
	}
	path := filepath.Join(test.TempDir(), "page.md")
	if err := os.WriteFile(path, []byte("before\n"+beginMarker+"\nold\n"+endMarker+"\nafter\n"), 0o600); err != nil {
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
	if !strings.HasPrefix(text, "before\n"+beginMarker) || !strings.HasSuffix(text, endMarker+"\nafter\n") ||
		strings.Contains(text, "old") ||
		strings.Count(text, "core: processor") != 1 {
		test.Errorf("page is not rewritten between the markers only:\n%s", text)
	}
	if err := os.WriteFile(path, []byte("no marks"), 0o600); err != nil {
		test.Fatal(err)
	}
	if WritePage(path, []*Sweep{sweep}) == nil {
		test.Error("a page without markers is written")
	}
}
