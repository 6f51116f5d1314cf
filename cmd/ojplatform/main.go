// Command ojplatform is a stand-in for the platform: its list of backends and its
// billing.
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
	flags := process.NewFlags("ojplatform", "a stand-in for the platform: a paged, late, rate-limited list")
	listen, backends, page, lag, rate := "", "", 10, 1000, 20
	flags.Parser.String(&listen, "", "listen", "IP:port to answer on")
	flags.Parser.String(&backends, "", "backends", "JSON file with the first list")
	flags.Parser.Int(&page, "", "page", "backends on a page")
	flags.Parser.Int(&lag, "", "lag-ms", "how late the list is")
	flags.Parser.Int(&rate, "", "rate", "pages a second")
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
		flags.Exit(rpc.Errorf(rpc.BadFlag, "--rate and --page are at least 1, --lag-ms at least 0"))
	}
	goroutines := concurrent.NewGroup()
	standIn := standin.NewPlatform(page, process.Milliseconds(lag), float64(rate), items)
	listener, err := process.Listen(listen, standIn, process.ListenOptions{})
	flags.Exit(err)
	listener.Serve(goroutines)
	process.OnTerm(goroutines, func() {
		listener.Drain(time.Second)
		goroutines.Stop()
	})
	goroutines.Wait()
}
