package cluster

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

// restart stops a process with a signal and starts it again after downtime.
func (fleet *Fleet) restart(process *Process, signal syscall.Signal, downtime time.Duration) {
	process.Signal(signal)
	if code := process.Wait(9 * time.Second); signal == syscall.SIGTERM && code != 0 {
		fleet.failures = append(fleet.failures, fmt.Sprintf("%s ended with exit code %d", process.Name, code))
	}
	fleet.goroutines.Sleep(downtime)
	fleet.start(process)
}

// start starts a process again and records a failure if it doesn't start.
func (fleet *Fleet) start(process *Process) {
	if err := process.Start(); err != nil {
		fleet.failures = append(fleet.failures, err.Error())
	}
}

func (fleet *Fleet) newRandom() *rand.Rand { return rand.New(rand.NewPCG(fleet.Spec.Seed, 41)) }

// lendingFaults kills a lending proxy, restarts it with a lower --lend-rps, and kills all
// daemons of the partner whose name sorts first.
func lendingFaults(fleet *Fleet) {
	lender := fleet.Proxies[0]
	fleet.sleepFraction(0.2)
	fleet.restart(lender, syscall.SIGKILL, 500*time.Millisecond)
	fleet.sleepFraction(0.1)
	for index, argument := range lender.arguments {
		if argument == "--lend-rps" {
			lender.arguments[index+1] = "5"
		}
	}
	fleet.restart(lender, syscall.SIGTERM, 100*time.Millisecond)
	fleet.sleepFraction(0.1)
	if fleet.peer != nil && fleet.partnerName < fleet.peer.partnerName {
		allDaemonsKilled(fleet)
	}
	fleet.sleepFraction(0.2)
}

// killedWhileStopping kills processes 700 ms after SIGTERM, before a graceful stop can end.
func killedWhileStopping(fleet *Fleet) {
	for _, process := range []*Process{fleet.Proxies[0], fleet.Proxies[1], fleet.Leader()} {
		if process == nil {
			continue
		}
		fleet.sleepFraction(0.1)
		process.Signal(syscall.SIGTERM)
		fleet.goroutines.Sleep(700 * time.Millisecond)
		fleet.restart(process, syscall.SIGKILL, 300*time.Millisecond)
	}
}

func proxiesKilled(fleet *Fleet) {
	random := fleet.newRandom()
	for range 4 {
		fleet.sleepFraction(0.1)
		fleet.restart(fleet.Proxies[random.IntN(len(fleet.Proxies))], syscall.SIGKILL, 500*time.Millisecond)
	}
}

func manyKilled(fleet *Fleet) {
	fleet.sleepFraction(0.2)
	killed := append(append([]*Process{}, fleet.Proxies[:len(fleet.Proxies)/2]...), fleet.Directories[0], fleet.Cores[0])
	for _, process := range killed {
		process.Signal(syscall.SIGKILL)
	}
	fleet.sleepFraction(0.1)
	for _, process := range killed {
		process.Wait(time.Second)
		fleet.start(process)
	}
}

func rollingRestart(fleet *Fleet) {
	for _, process := range append(append(append([]*Process{}, fleet.Cores...), fleet.Directories...), fleet.Proxies...) {
		fleet.restart(process, syscall.SIGTERM, 100*time.Millisecond)
		fleet.goroutines.Sleep(700 * time.Millisecond)
	}
}

func processesFrozen(fleet *Fleet) {
	for _, process := range []*Process{fleet.Leader(), fleet.Proxies[0], fleet.Directories[0]} {
		if process == nil {
			continue
		}
		fleet.sleepFraction(0.05)
		process.Signal(syscall.SIGSTOP)
		fleet.sleepFraction(0.15)
		process.Signal(syscall.SIGCONT)
	}
}

func coreDiskLost(fleet *Fleet) {
	fleet.sleepFraction(0.2)
	for _, process := range fleet.Cores {
		process.Signal(syscall.SIGKILL)
		process.Wait(time.Second)
		if err := os.RemoveAll(filepath.Join(fleet.Spec.Folder, process.Name)); err != nil {
			fleet.failures = append(fleet.failures, err.Error())
		}
		fleet.start(process)
		fleet.sleepFraction(0.2)
	}
}

func allCoresKilled(fleet *Fleet) {
	fleet.sleepFraction(0.2)
	for _, process := range fleet.Cores {
		process.Signal(syscall.SIGKILL)
	}
	fleet.sleepFraction(0.4)
	for _, process := range fleet.Cores {
		process.Wait(time.Second)
		fleet.start(process)
	}
}

func zoneLost(fleet *Fleet) { fleet.killZones([]string{fleet.zones[0]}) }

func regionLost(fleet *Fleet) {
	for _, region := range sortedKeys(fleet.settings.Regions) {
		fleet.killZones(fleet.settings.Regions[region].Zones)
		return
	}
}

func (fleet *Fleet) killZones(zones []string) {
	fleet.sleepFraction(0.2)
	killed := []*Process{}
	for _, process := range fleet.allProcesses() {
		for _, zone := range zones {
			if process.Zone == zone {
				killed = append(killed, process)
			}
		}
	}
	for _, process := range killed {
		process.Signal(syscall.SIGKILL)
	}
	fleet.sleepFraction(0.3)
	for _, process := range killed {
		process.Wait(time.Second)
		fleet.start(process)
	}
}

// allDaemonsKilled kills all cores, directories and proxies at once and prints the time until the
// fleet is ready again.
func allDaemonsKilled(fleet *Fleet) {
	fleet.sleepFraction(0.25)
	processes := append(append(append([]*Process{}, fleet.Cores...), fleet.Directories...), fleet.Proxies...)
	for _, process := range processes {
		process.Signal(syscall.SIGKILL)
	}
	for _, process := range processes {
		process.Wait(time.Second)
	}
	start := time.Now()
	for _, process := range processes {
		fleet.start(process)
	}
	if err := fleet.waitReady(start.Add(15 * time.Second)); err != nil {
		fleet.failures = append(fleet.failures, "not ready within 15 s after the restart of all daemons: "+err.Error())
	}
	fmt.Printf("%s: all down: ready again after %v\n", fleet.partnerName, time.Since(start).Round(time.Millisecond))
}

func sortedKeys[T any](values map[string]T) []string { return slices.Sorted(maps.Keys(values)) }
