// Command standin runs the scripted cases of the review: it starts the deploy file's programs as
// separate processes on loopback addresses, beside stand-ins of the platform, the backends, the
// operator and the clients that follow the users' pages, and checks one rule.
//
// It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes, as the review's issue asks for them.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseTimeout bounds a whole case.
const caseTimeout = 115 * time.Second

// runCase is one scripted case. It reports whether the rule was broken.
type runCase func(deployment *deployment, trouble bool) (bool, error)

// cases are the scripted cases by name.
var cases = map[string]runCase{
	"body-limit":   runBodyLimit,
	"early-answer": runEarlyAnswer,
	"large-bodies": runLargeBodies,
	"slow-reader":  runSlowReader,
}

func main() {
	name := flag.String("case", "", "the case to run")
	program := flag.String("program", "target/orchidjunction", "the program that the deploy file builds")
	recordPath := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *program, *recordPath))
}

func run(name, program, recordPath string) int {
	runner, known := cases[name]
	if !known {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitFailed
	}
	record, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	deployment, err := newDeployment(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	watchdog := time.AfterFunc(caseTimeout, func() {
		record.printf("the case took too long")
		deployment.stop()
		os.Exit(exitFailed)
	})
	defer watchdog.Stop()
	defer deployment.stop()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-ended
		deployment.stop()
		os.Exit(exitFailed)
	}()
	broken, err := runner(deployment, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.printf("could not run: %v", err)
		return exitFailed
	case broken:
		record.printf("verdict: the rule was broken")
		return exitBroken
	}
	record.printf("verdict: the rule held")
	return exitHeld
}
