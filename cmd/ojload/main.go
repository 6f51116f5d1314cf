// Command ojload generates the load of simulated callers: it asks directories for proxies, sends
// requests to them and prints the results as JSON.
package main

import (
	"encoding/json"
	"net/http"
	"os"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/harness/standin"
	"orchidjunction/process"
	"orchidjunction/rpc"
)

func main() {
	flags := process.NewFlags("ojload", "load generator that simulates callers and prints the results as JSON")
	path := ""
	flags.Parser.String(&path, "", "plan", "JSON file with directories, callers, calls, rate and duration")
	flags.Parse()
	plan := standin.LoadPlan{}
	body, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(body, &plan)
	}
	if err != nil {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "--plan: %v", err))
	}
	if plan.PerSecond < 1 || plan.Seconds <= 0 || len(plan.Directories) == 0 || len(plan.Callers) == 0 || len(plan.Calls) == 0 {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "--plan: directories, callers, calls, per_second and seconds are required"))
	}
	goroutines := concurrent.NewGroup()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second, DisableCompression: true}}
	generator := standin.NewLoadGenerator(plan, client, goroutines.Start)
	process.OnTerminate(goroutines, goroutines.Stop)
	report := generator.Run(goroutines.Sleep)
	goroutines.Stop()
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(report); err != nil {
		flags.Exit(rpc.Errorf(rpc.DiskFailure, "writing the report: %v", err))
	}
}
