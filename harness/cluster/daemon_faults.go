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

// stop ends a process by a signal, waits, rests and starts it again.
func (fleet *Fleet) stop(process *Process, signal syscall.Signal, away time.Duration) {
	process.Signal(signal)
	if code := process.Wait(9 * time.Second); signal == syscall.SIGTERM && code != 0 {
		fleet.codes = append(fleet.codes, fmt.Sprintf("%s exit %d", process.Name, code))
	}
	fleet.goroutines.Sleep(away)
	fleet.start(process)
}

// start starts a process again; one that doesn't start counts as a wrong exit.
func (fleet *Fleet) start(process *Process) {
	if err := process.Start(); err != nil {
		fleet.codes = append(fleet.codes, err.Error())
	}
}

func (fleet *Fleet) random() *rand.Rand { return rand.New(rand.NewPCG(fleet.Spec.Seed, 41)) }

// lendingFaults presses and ends what is lent between the partners.
func lendingFaults(fleet *Fleet) {
	lender := fleet.Proxies[0]
	fleet.rest(0.2)
	fleet.stop(lender, syscall.SIGKILL, 500*time.Millisecond)
	fleet.rest(0.1)
	for index, argument := range lender.arguments {
		if argument == "--lend-rps" {
			lender.arguments[index+1] = "5"
		}
	}
	fleet.stop(lender, syscall.SIGTERM, 100*time.Millisecond)
	fleet.rest(0.1)
	if fleet.peer != nil && fleet.name < fleet.peer.name {
		allDown(fleet)
	}
	fleet.rest(0.2)
}

// warnedThenKilled gives less time than a planned end needs.
func warnedThenKilled(fleet *Fleet) {
	for _, process := range []*Process{fleet.Proxies[0], fleet.Proxies[1], fleet.Leader()} {
		if process == nil {
			continue
		}
		fleet.rest(0.1)
		process.Signal(syscall.SIGTERM)
		fleet.goroutines.Sleep(700 * time.Millisecond)
		fleet.stop(process, syscall.SIGKILL, 300*time.Millisecond)
	}
}

func proxiesKilled(fleet *Fleet) {
	random := fleet.random()
	for range 4 {
		fleet.rest(0.1)
		fleet.stop(fleet.Proxies[random.IntN(len(fleet.Proxies))], syscall.SIGKILL, 500*time.Millisecond)
	}
}

func manyKilled(fleet *Fleet) {
	fleet.rest(0.2)
	herd := append(append([]*Process{}, fleet.Proxies[:len(fleet.Proxies)/2]...), fleet.Directories[0], fleet.Cores[0])
	for _, process := range herd {
		process.Signal(syscall.SIGKILL)
	}
	fleet.rest(0.1)
	for _, process := range herd {
		process.Wait(time.Second)
		fleet.start(process)
	}
}

func restartedInTurn(fleet *Fleet) {
	for _, process := range append(append(append([]*Process{}, fleet.Cores...), fleet.Directories...), fleet.Proxies...) {
		fleet.stop(process, syscall.SIGTERM, 100*time.Millisecond)
		fleet.goroutines.Sleep(700 * time.Millisecond)
	}
}

func frozen(fleet *Fleet) {
	for _, process := range []*Process{fleet.Leader(), fleet.Proxies[0], fleet.Directories[0]} {
		if process == nil {
			continue
		}
		fleet.rest(0.05)
		process.Signal(syscall.SIGSTOP)
		fleet.rest(0.15)
		process.Signal(syscall.SIGCONT)
	}
}

func coreDiskLost(fleet *Fleet) {
	fleet.rest(0.2)
	for _, process := range fleet.Cores {
		process.Signal(syscall.SIGKILL)
		process.Wait(time.Second)
		if err := os.RemoveAll(filepath.Join(fleet.Spec.Folder, process.Name)); err != nil {
			fleet.codes = append(fleet.codes, err.Error())
		}
		fleet.start(process)
		fleet.rest(0.2)
	}
}

func coreGone(fleet *Fleet) {
	fleet.rest(0.2)
	for _, process := range fleet.Cores {
		process.Signal(syscall.SIGKILL)
	}
	fleet.rest(0.4)
	for _, process := range fleet.Cores {
		process.Wait(time.Second)
		fleet.start(process)
	}
}

func zoneLost(fleet *Fleet) { fleet.zonesLost([]string{fleet.zones[0]}) }

func regionLost(fleet *Fleet) {
	for _, name := range sortedKeys(fleet.settings.Regions) {
		fleet.zonesLost(fleet.settings.Regions[name].Zones)
		return
	}
}

func (fleet *Fleet) zonesLost(zones []string) {
	fleet.rest(0.2)
	lost := []*Process{}
	for _, process := range fleet.all() {
		for _, zone := range zones {
			if process.Zone == zone {
				lost = append(lost, process)
			}
		}
	}
	for _, process := range lost {
		process.Signal(syscall.SIGKILL)
	}
	fleet.rest(0.3)
	for _, process := range lost {
		process.Wait(time.Second)
		fleet.start(process)
	}
}

// allDown kills every process of ours at once and measures until callers are served again.
func allDown(fleet *Fleet) {
	fleet.rest(0.25)
	ours := append(append(append([]*Process{}, fleet.Cores...), fleet.Directories...), fleet.Proxies...)
	for _, process := range ours {
		process.Signal(syscall.SIGKILL)
	}
	for _, process := range ours {
		process.Wait(time.Second)
	}
	begin := time.Now()
	for _, process := range ours {
		fleet.start(process)
	}
	if err := fleet.ready(begin.Add(15 * time.Second)); err != nil {
		fleet.codes = append(fleet.codes, "not back in 15 s: "+err.Error())
	}
	fmt.Printf("%s: all down: ready again after %v\n", fleet.name, time.Since(begin).Round(time.Millisecond))
}

func sortedKeys[T any](named map[string]T) []string { return slices.Sorted(maps.Keys(named)) }
