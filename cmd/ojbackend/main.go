// Command ojbackend simulates a partner's backend.
package main

import (
	"time"

	"orchidjunction/agent"
	"orchidjunction/concurrent"
	"orchidjunction/harness/standin"
	"orchidjunction/process"
	"orchidjunction/rpc"
)

func main() {
	flags := process.NewFlags("ojbackend", "simulates a partner's backend")
	place := standin.BackendConfig{Room: 32, WorkMs: 5, GentleRate: 10}
	listen, leaveMs := "", 2500
	flags.Parser.String(&listen, "", "listen", "IP:port to listen on")
	flags.Parser.String(&place.Service, "", "service", "service of this backend")
	flags.Parser.String(&place.Instance, "", "instance", "name of this backend")
	flags.Parser.Int(&place.WorkMs, "", "work-ms", "time per task in milliseconds")
	flags.Parser.Int(&place.ColdMs, "", "cold-ms", "warm-up time after the start in milliseconds")
	flags.Parser.Float64(&place.GentleRate, "", "gentle-rate", "tasks per second during warm-up")
	flags.Parser.Int(&place.Room, "", "room", "number of concurrent tasks at which the reported load is 1")
	flags.Parser.String(&place.Journal, "", "journal", "file in which charges are recorded")
	flags.Parser.Int(&leaveMs, "", "leave-ms", "time from SIGTERM until the listener is drained, in milliseconds")
	flags.Parse()
	flags.Exit(rpc.CheckAddress("--listen", listen))
	if place.Service == "" || place.Instance == "" {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "--service and --instance are required"))
	}
	place.Incarnation = agent.NewID()
	backend, err := standin.NewBackend(place)
	if err != nil {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "--journal: %v", err))
	}
	goroutines := concurrent.NewGroup()
	listener, err := process.Listen(listen, backend, process.ListenOptions{})
	flags.Exit(err)
	listener.Serve(goroutines)
	process.OnTerm(goroutines, func() {
		backend.Leave()
		goroutines.Sleep(process.Milliseconds(leaveMs))
		listener.Drain(6*time.Second - process.Milliseconds(leaveMs))
		goroutines.Stop()
	})
	goroutines.Wait()
}
