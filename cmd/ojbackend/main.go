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
	config := standin.BackendConfig{Room: 32, WorkMs: 5, GentleRate: 10}
	listen, leaveMs := "", 2500
	flags.Parser.String(&listen, "", "listen", "IP:port to listen on")
	flags.Parser.String(&config.Service, "", "service", "service of this backend")
	flags.Parser.String(&config.Instance, "", "instance", "name of this backend")
	flags.Parser.Int(&config.WorkMs, "", "work-ms", "time per task in milliseconds")
	flags.Parser.Int(&config.ColdMs, "", "cold-ms", "warm-up time after the start in milliseconds")
	flags.Parser.Float64(&config.GentleRate, "", "gentle-rate", "tasks per second during warm-up")
	flags.Parser.Int(&config.Room, "", "room", "number of concurrent tasks at which the reported load is 1")
	flags.Parser.String(&config.Journal, "", "journal", "file in which charges are recorded")
	flags.Parser.Int(&leaveMs, "", "leave-ms", "time from SIGTERM until the backend stops accepting connections, in milliseconds")
	flags.Parse()
	flags.Exit(rpc.CheckAddress("--listen", listen))
	if config.Service == "" || config.Instance == "" {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "--service and --instance are required"))
	}
	config.Incarnation = agent.NewID()
	backend, err := standin.NewBackend(config)
	if err != nil {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "--journal: %v", err))
	}
	goroutines := concurrent.NewGroup()
	listener, err := process.Listen(listen, backend, process.ListenOptions{})
	flags.Exit(err)
	listener.Serve(goroutines)
	process.OnTerminate(goroutines, func() {
		backend.Leave()
		goroutines.Sleep(process.Milliseconds(leaveMs))
		listener.Drain(6*time.Second - process.Milliseconds(leaveMs))
		goroutines.Stop()
	})
	goroutines.Wait()
}
