package route

import (
	"fmt"
	"orchidjunction/rpc"
	"testing"
)

// A trail knows the newest orders exactly, says what it forgot, and stays short.
func TestTrailKnowsTheNewestAndWhatItForgot(test *testing.T) {
	const more = 100
	trail, version := Trail{}, uint64(0)
	versions := []uint64{}
	for number := range TrailMost + more {
		version += uint64(1 + number%7)
		versions = append(versions, version)
		trail = trail.With(version, fmt.Sprint(number))
	}
	for number, version := range versions {
		known := number >= more
		if trail.Holds(version, fmt.Sprint(number)) != known || trail.Holds(version, "another") || trail.Forgets(version) == known {
			test.Fatalf("order %d of %d: held %v, forgotten %v", number, len(versions), trail.Holds(version, fmt.Sprint(number)), trail.Forgets(version))
		}
	}
	entries := trail.Entries()
	if len(entries) != TrailMost || entries[0].Version != versions[more] || entries[TrailMost-1].Version != version {
		test.Errorf("%d entries, from %d to %d", len(entries), entries[0].Version, entries[len(entries)-1].Version)
	}
	if len(trail.Packed) > TrailMost*(digestBytes+1) {
		test.Errorf("%d bytes", len(trail.Packed))
	}
}

// A trail that was packed, read and continued is the same; one that was read keeps
// its own bytes though two longer ones were made of it.
func TestTrailLastsAndIsNotShared(test *testing.T) {
	trail := Trail{}.With(300, "a").With(70000, "b")
	body, err := rpc.Marshal(&Book{Trail: trail})
	if err != nil {
		test.Fatal(err)
	}
	book, err := BookOf(body)
	if err != nil {
		test.Fatal(err)
	}
	left, right := book.Trail.With(70001, "left"), book.Trail.With(70002, "right")
	if !left.Holds(70001, "left") || !right.Holds(70002, "right") || !left.Holds(300, "a") || !right.Holds(70000, "b") || book.Trail.Holds(70001, "left") {
		test.Errorf("%+v, %+v of %+v", left.Entries(), right.Entries(), book.Trail.Entries())
	}
}

// A book of a former version, whose trail is a list of whole digests, is read.
func TestTrailOfFormerVersionIsRead(test *testing.T) {
	type formerBook struct {
		Config    Config
		Evacuated []string
		Reopened  []Reopened
		Trail     []formerApplied
	}
	body, err := rpc.Marshal(&formerBook{Config: Config{Version: 9}, Evacuated: []string{"z1"}, Trail: []formerApplied{{4, "four"}, {9, "nine"}}})
	if err != nil {
		test.Fatal(err)
	}
	book, err := BookOf(body)
	if err != nil || book.Config.Version != 9 || len(book.Evacuated) != 1 {
		test.Fatalf("%v: %+v", err, book)
	}
	if !book.Trail.Holds(4, "four") || !book.Trail.Holds(9, "nine") || book.Trail.Holds(9, "ten") || book.Trail.Count != 2 {
		test.Errorf("%+v", book.Trail.Entries())
	}
	again, _ := rpc.Marshal(book)
	if back, err := BookOf(again); err != nil || !back.Trail.Holds(9, "nine") {
		test.Errorf("%v: %+v", err, back)
	}
}
