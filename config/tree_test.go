package config_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"testing"

	"orchidjunction/config"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

// Random partial changes, some of them invalid, on a tree with many routes: in
// branches it comes out as by reading the whole text, refusals too; its branches
// do not depend on the way it came about; and one route's change makes few anew.
func TestBranchesAreTheWholeText(test *testing.T) {
	base, err := os.ReadFile("../examples/small.json")
	if err != nil {
		test.Fatal(err)
	}
	tree, err := config.Parse(base, nil)
	if err != nil {
		test.Fatal(err)
	}
	follower, chunks := tree, message.Chunks{}
	random := rand.New(rand.NewPCG(1, 2))
	refused := 0
	for turn := range 300 {
		patch := draw(random, turn)
		body, _ := config.Patch(tree.Body(), patch)
		settings, whole := config.Read(body)
		next, err := tree.Patch(patch)
		if (err == nil) != (whole == nil) {
			test.Fatalf("%.200s: whole %v, in branches %v", patch, whole, err)
		}
		if err != nil {
			refused++
			continue
		}
		if left, right := mustJSON(settings), mustJSON(next.Settings); !bytes.Equal(left, right) {
			test.Fatalf("%.200s: %.300s is not %.300s", patch, left, right)
		}
		anew, _ := config.Parse(body, nil)
		if !reflect.DeepEqual(anew.Refs, next.Refs) {
			test.Fatalf("%.200s: branches depend on the way", patch)
		}
		missing := follower.Missing(next.Refs)
		if turn > 100 && len(missing) > 8 {
			test.Fatalf("%.200s: %d of %d branches are new", patch, len(missing), len(next.Refs))
		}
		for _, digest := range missing {
			chunks[digest] = next.Text(digest)
		}
		if follower, err = config.Assemble(follower, next.Refs, chunks); err != nil || !bytes.Equal(follower.Body(), next.Body()) {
			test.Fatalf("%.200s: %v", patch, err)
		}
		if len(missing) > 0 {
			if _, err := config.Assemble(tree, next.Refs, nil); err == nil || rpc.CodeOf(err) != rpc.CorruptChunk {
				test.Fatalf("grown without its branches: %v", err)
			}
		}
		tree = next
	}
	if refused < 20 || refused > 200 {
		test.Fatalf("%d refused", refused)
	}
}

func mustJSON(value any) []byte {
	body, _ := json.Marshal(value)
	return body
}

// draw is a partial change: first many routes, then mostly one thing.
func draw(random *rand.Rand, turn int) []byte {
	routes := map[string]any{}
	route := func() any {
		number := random.IntN(3000)
		return map[string]any{"method": "GET", "path": fmt.Sprintf("/bulk/%d", number)}
	}
	if turn%30 == 0 && turn <= 90 {
		for number := range 800 {
			name := turn*100 + number
			routes[fmt.Sprintf("bulk-%d", name)] = map[string]any{"method": "GET", "path": fmt.Sprintf("/bulk/%d", name)}
		}
	}
	switch random.IntN(9) {
	case 0:
		routes[fmt.Sprintf("bulk-%d", random.IntN(800))] = nil
	case 1:
		routes["one"] = route()
	case 2:
		return []byte(fmt.Sprintf(`{"rule":{"hold_ms":%d}}`, 50+random.IntN(2000)))
	case 3:
		return []byte(
			fmt.Sprintf(
				`{"tenants":{"t-%d":{"keys":[],"forbid_regions":["%s"]}}}`,
				random.IntN(300),
				[]string{"east", "nowhere"}[random.IntN(2)],
			),
		)
	case 4:
		return []byte(
			fmt.Sprintf(`{"classes":{"pages":{"services":{"extra-%d":{"routes":{"a":{"method":"GET","path":"/a"}}}}}}}`, random.IntN(5)),
		)
	case 5:
		return []byte(`{"classes":{"pages":{"services":{"extra-1":null}}}}`)
	case 6:
		return []byte(
			[]string{`{"classes":5}`, `{"classes":{"pages":{"services":{"meters":{"routes":null}}}}}`, `{"tenants":{"Bad/Name":{"keys":[]}}}`, `{"colour":1}`, `{"classes":{"No/":{"rank":3,"floor_rps":1,"services":{}}}}`}[random.IntN(5)],
		)
	}
	return mustJSON(
		map[string]any{
			"classes": map[string]any{"pages": map[string]any{"services": map[string]any{"bulk": map[string]any{"routes": routes}}}},
		},
	)
}
