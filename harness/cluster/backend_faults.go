package cluster

import (
	"fmt"
	"path/filepath"
	"syscall"
	"time"

	"orchidjunction/harness/standin"
)

func (fleet *Fleet) injectFault(process *Process, mode string, count int) {
	response, err := fleet.client.Get(fmt.Sprintf("http://%s/stand/fault?mode=%s&count=%d", process.PublicAddress, mode, count))
	if err == nil {
		response.Body.Close()
	}
}

func backendsMisbehave(fleet *Fleet) {
	random := fleet.newRandom()
	for range 30 {
		modes := standin.FaultModes
		fleet.injectFault(fleet.Backends[random.IntN(len(fleet.Backends))], modes[random.IntN(len(modes))], 1+random.IntN(3))
		fleet.sleepFraction(0.03)
	}
}

func backendsCrash(fleet *Fleet) {
	random := fleet.newRandom()
	for range 4 {
		fleet.sleepFraction(0.1)
		process := fleet.Backends[random.IntN(len(fleet.Backends))]
		fleet.restart(process, syscall.SIGKILL, time.Second)
	}
}

func backendsFreeze(fleet *Fleet) {
	fleet.sleepFraction(0.1)
	for _, process := range fleet.Backends[:2] {
		process.Signal(syscall.SIGSTOP)
	}
	fleet.sleepFraction(0.4)
	for _, process := range fleet.Backends[:2] {
		process.Signal(syscall.SIGCONT)
	}
}

// backendsReplaced stops backends one by one with SIGTERM and restarts them cold.
func backendsReplaced(fleet *Fleet) {
	for _, process := range fleet.Backends[:min(4, len(fleet.Backends))] {
		process.arguments = fleet.backendArguments(process, 6000)
		fleet.restart(process, syscall.SIGTERM, 300*time.Millisecond)
		fleet.sleepFraction(0.05)
	}
}

// backendAddressReused starts a backend of another service at the address of a killed one.
func backendAddressReused(fleet *Fleet) {
	fleet.sleepFraction(0.2)
	process := fleet.Backends[0]
	process.Signal(syscall.SIGKILL)
	process.Wait(time.Second)
	otherService := fleet.services[len(fleet.services)-1]
	process.arguments = []string{
		"--listen",
		process.PublicAddress,
		"--service",
		otherService,
		"--instance",
		"stranger",
		"--journal",
		filepath.Join(fleet.Spec.Folder, "stranger"+journalSuffix),
	}
	fleet.start(process)
}

func platformMisbehaves(fleet *Fleet) {
	for _, mode := range []string{"shift", "refuse", "usage-slow", "gone", "usage-late", "usage-refuse"} {
		response, err := fleet.client.Get(fmt.Sprintf("http://%s/stand/misbehave?mode=%s&span=2s", fleet.Platform.PublicAddress, mode))
		if err == nil {
			response.Body.Close()
		}
		fleet.goroutines.Sleep(2500 * time.Millisecond)
	}
}

func coldBackends(fleet *Fleet) {
	fleet.sleepFraction(0.2)
	restarted := fleet.Backends[:len(fleet.Backends)/2]
	for _, process := range restarted {
		process.arguments = fleet.backendArguments(process, 5000)
		process.Signal(syscall.SIGKILL)
	}
	fleet.goroutines.Sleep(500 * time.Millisecond)
	for _, process := range restarted {
		process.Wait(time.Second)
		fleet.start(process)
	}
	fleet.restart(fleet.Proxies[1], syscall.SIGKILL, 300*time.Millisecond)
	fleet.restart(fleet.Proxies[2], syscall.SIGTERM, 300*time.Millisecond)
}
