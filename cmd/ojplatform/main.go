// Command ojplatform simulates the platform: its list of backends and its billing.
package main

import (
	"encoding/json"
	"os"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/harness/standin"
	"orchidjunction/process"
	"orchidjunction/rpc"
)

func main() {
	flags := process.NewFlags("ojplatform", "simulates the platform's list of backends: paged, delayed and rate-limited")
	listen, backends, page, lag, rate := "", "", 10, 1000, 20
	flags.Parser.String(&listen, "", "listen", "IP:port to listen on")
	flags.Parser.String(&backends, "", "backends", "JSON file with the initial list")
	flags.Parser.Int(&page, "", "page", "backends per page")
	flags.Parser.Int(&lag, "", "lag-ms", "delay of the list in milliseconds")
	flags.Parser.Int(&rate, "", "rate", "maximum number of pages per second")
	flags.Parse()
	flags.Exit(rpc.CheckAddress("--listen", listen))
	items := []standin.Listed{}
	if backends != "" {
		body, err := os.ReadFile(backends)
		if err == nil {
			err = json.Unmarshal(body, &items)
		}
		if err != nil {
			flags.Exit(rpc.Errorf(rpc.BadFlag, "--backends: %v", err))
		}
	}
	if rate < 1 || page < 1 || lag < 0 {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "--rate and --page must be at least 1, --lag-ms at least 0"))
	}
	goroutines := concurrent.NewGroup()
	standIn := standin.NewPlatform(page, process.Milliseconds(lag), float64(rate), items)
	listener, err := process.Listen(listen, standIn, process.ListenOptions{})
	flags.Exit(err)
	listener.Serve(goroutines)
	process.OnTerminate(goroutines, func() {
		listener.Drain(time.Second)
		goroutines.Stop()
	})
	goroutines.Wait()
}
