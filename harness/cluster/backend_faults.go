package cluster

import (
	"fmt"
	"path/filepath"
	"syscall"
	"time"
)

func (fleet *Fleet) fault(process *Process, mode string, count int) {
	response, err := fleet.client.Get(fmt.Sprintf("http://%s/stand/fault?mode=%s&count=%d", process.PublicAddress, mode, count))
	if err == nil {
		response.Body.Close()
	}
}

func backendsMisbehave(fleet *Fleet) {
	random := fleet.random()
	for range 30 {
		kinds := []string{"lose", "garbage", "truncate", "foreign", "overlong", "vanish", "busy"}
		fleet.fault(fleet.Backends[random.IntN(len(fleet.Backends))], kinds[random.IntN(len(kinds))], 1+random.IntN(3))
		fleet.rest(0.03)
	}
}

func backendsCrash(fleet *Fleet) {
	random := fleet.random()
	for range 4 {
		fleet.rest(0.1)
		process := fleet.Backends[random.IntN(len(fleet.Backends))]
		fleet.stop(process, syscall.SIGKILL, time.Second)
	}
}

func backendsVanish(fleet *Fleet) {
	fleet.rest(0.1)
	for _, process := range fleet.Backends[:2] {
		process.Signal(syscall.SIGSTOP)
	}
	fleet.rest(0.4)
	for _, process := range fleet.Backends[:2] {
		process.Signal(syscall.SIGCONT)
	}
}

// backendsReplaced stops them one by one with the platform's warning; each comes back cold.
func backendsReplaced(fleet *Fleet) {
	for _, process := range fleet.Backends[:min(4, len(fleet.Backends))] {
		process.arguments = fleet.backArguments(process, 6000)
		fleet.stop(process, syscall.SIGTERM, 300*time.Millisecond)
		fleet.rest(0.05)
	}
}

// addressReused gives a dead backend's address to another service's backend.
func addressReused(fleet *Fleet) {
	fleet.rest(0.2)
	process := fleet.Backends[0]
	process.Signal(syscall.SIGKILL)
	process.Wait(time.Second)
	other := fleet.services[len(fleet.services)-1]
	process.arguments = []string{
		"--listen",
		process.PublicAddress,
		"--service",
		other,
		"--instance",
		"stranger",
		"--journal",
		filepath.Join(fleet.Spec.Folder, "stranger"+journalEnd),
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

func coldHerd(fleet *Fleet) {
	fleet.rest(0.2)
	herd := fleet.Backends[:len(fleet.Backends)/2]
	for _, process := range herd {
		process.arguments = fleet.backArguments(process, 5000)
		process.Signal(syscall.SIGKILL)
	}
	fleet.goroutines.Sleep(500 * time.Millisecond)
	for _, process := range herd {
		process.Wait(time.Second)
		fleet.start(process)
	}
	fleet.stop(fleet.Proxies[1], syscall.SIGKILL, 300*time.Millisecond)
	fleet.stop(fleet.Proxies[2], syscall.SIGTERM, 300*time.Millisecond)
}
