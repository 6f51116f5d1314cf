package cluster

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"orchidjunction/harness/standin"
	"orchidjunction/rpc"
)

// Lend makes the first proxies guests of the other partner's fleet too.
func (fleet *Fleet) Lend(peer *Fleet) {
	fleet.peer = peer
	for index, process := range fleet.Proxies[:min(fleet.Spec.Guests, len(fleet.Proxies))] {
		zone, outer := peer.zones[index%len(peer.zones)], fleet.address()
		process.arguments = append(
			process.arguments,
			"--guest-name",
			"guest-"+process.Name,
			"--guest-zone",
			zone,
			"--guest-listen",
			outer,
			"--guest-wire",
			fleet.address(),
			"--guest-operate",
			fleet.address(),
			"--lend-rps",
			"60",
			"--lend-in-flight",
			"64",
		)
		for _, core := range peer.Cores[:min(3, len(peer.Cores))] {
			process.arguments = append(process.arguments, "--guest-seed", core.InternalAddress)
		}
		peer.guests[outer] = zone
	}
}

func (fleet *Fleet) address() string {
	fleet.port++
	return fmt.Sprintf("127.0.0.1:%d", fleet.port-1)
}

func (fleet *Fleet) process(name, kind string, arguments ...string) *Process {
	return newProcess(fleet.goroutines, fleet.Spec.Bin, fleet.Spec.Folder, name, kind, arguments...)
}

// lay decides every process's place and command line.
func (fleet *Fleet) lay() error {
	platform := fleet.address()
	for index := range fleet.Spec.Backends {
		process := fleet.process(fmt.Sprintf("back-%02d", index), "ojbackend")
		process.Zone, process.Service, process.PublicAddress = fleet.zones[index/len(fleet.services)%len(fleet.zones)], fleet.services[index%len(fleet.services)], fleet.address()
		process.arguments = fleet.backArguments(process, 0)
		fleet.Backends = append(fleet.Backends, process)
		fleet.listed = append(
			fleet.listed,
			standin.Listed{Name: process.Name, Service: process.Service, Address: process.PublicAddress, Zone: process.Zone},
		)
	}
	list := filepath.Join(fleet.Spec.Folder, "backends.json")
	body, _ := json.Marshal(fleet.listed)
	if err := os.WriteFile(list, body, 0o600); err != nil {
		return rpc.Errorf(rpc.DiskFailure, "%v", err)
	}
	fleet.Platform = fleet.process(
		"platform",
		"ojplatform",
		"--listen",
		platform,
		"--backends",
		list,
		"--lag-ms",
		fmt.Sprint(fleet.Spec.LagMs),
	)
	fleet.Platform.PublicAddress = platform
	for index := range fleet.Spec.Cores {
		process := fleet.process(fmt.Sprintf("core-%d", index+1), "ojcore")
		process.Zone, process.InternalAddress, process.OperatorAddress = fleet.zones[index%len(fleet.zones)], fleet.address(), fleet.address()
		fleet.Cores = append(fleet.Cores, process)
	}
	for index, process := range fleet.Cores {
		process.arguments = []string{
			"--id", fmt.Sprint(index + 1), "--zone", process.Zone, "--wire", process.InternalAddress, "--operate", process.OperatorAddress,
			"--data", filepath.Join(fleet.Spec.Folder, process.Name), "--platform", platform, "--found",
		}
		for other, peer := range fleet.Cores {
			if other != index {
				process.arguments = append(process.arguments, "--peer", fmt.Sprintf("%d=%s", other+1, peer.InternalAddress))
			}
		}
	}
	for _, side := range []struct {
		kind    string
		program string
		count   int
		into    *[]*Process
	}{{"dir", "ojdirectory", fleet.Spec.Directories, &fleet.Directories}, {"proxy", "ojproxy", fleet.Spec.Proxies, &fleet.Proxies}} {
		for index := range side.count {
			process := fleet.process(fmt.Sprintf("%s-%02d", side.kind, index), side.program)
			process.Zone, process.PublicAddress, process.InternalAddress, process.OperatorAddress = fleet.zones[index%len(fleet.zones)], fleet.address(), fleet.address(), fleet.address()
			process.arguments = []string{
				"--name",
				process.Name,
				"--zone",
				process.Zone,
				"--listen",
				process.PublicAddress,
				"--wire",
				process.InternalAddress,
				"--operate",
				process.OperatorAddress,
			}
			for _, core := range fleet.Cores[:min(3, len(fleet.Cores))] {
				process.arguments = append(process.arguments, "--seed", core.InternalAddress)
			}
			*side.into = append(*side.into, process)
		}
	}
	return nil
}

func (fleet *Fleet) backArguments(process *Process, coldMs int) []string {
	return []string{
		"--listen", process.PublicAddress, "--service", process.Service, "--instance", process.Name, "--cold-ms", fmt.Sprint(coldMs),
		"--journal", filepath.Join(fleet.Spec.Folder, process.Name+journalEnd),
	}
}
