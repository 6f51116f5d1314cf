// Command ojbackend is a stand-in for a backend of a partner.
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
	flags := process.NewFlags("ojbackend", "a stand-in for a partner's backend")
	place := standin.BackendConfig{Room: 32, WorkMs: 5, GentleRate: 10}
	listen, leaveMs := "", 2500
	flags.Parser.String(&listen, "", "listen", "IP:port to answer on")
	flags.Parser.String(&place.Service, "", "service", "service this backend belongs to")
	flags.Parser.String(&place.Instance, "", "instance", "this backend's name")
	flags.Parser.Int(&place.WorkMs, "", "work-ms", "time a task takes")
	flags.Parser.Int(&place.ColdMs, "", "cold-ms", "time it stays cold after its start")
	flags.Parser.Float64(&place.GentleRate, "", "gentle-rate", "tasks a second while cold")
	flags.Parser.Int(&place.Room, "", "room", "tasks in flight at full usage")
	flags.Parser.String(&place.Journal, "", "journal", "file that keeps the charges")
	flags.Parser.Int(&leaveMs, "", "leave-ms", "time between SIGTERM and the end")
	flags.Parse()
	flags.Exit(rpc.CheckAddress("--listen", listen))
	if place.Service == "" || place.Instance == "" {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "--service and --instance must be given"))
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
