// Command standin2 plays the scripts of the second review: it starts the system's programs as
// separate processes on loopback addresses, with stand-ins for clients, backends, operator and
// platform that follow the users' pages.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit statuses of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripts by name. Each returns whether the rule was broken.
var cases = map[string]func(record *recorder, trouble bool) (bool, error){
	"answers-without-length": answersWithoutLength,
	"founder-loses-disk":     founderLosesDisk,
	"platform-moves":         platformMoves,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		return exitNotRun
	}
	record, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := cases[os.Args[1]](record, os.Getenv("TROUBLE") != "0")
	switch {
	case errors.Is(err, errNotRun), err != nil:
		record.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		record.note("the rule was BROKEN")
		return exitBroken
	}
	record.note("the rule held")
	return exitHeld
}
