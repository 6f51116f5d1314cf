package cluster

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"orchidjunction/harness/standin"
	"orchidjunction/rpc"
)

// Lend makes the first Spec.Guests proxies also guests of the other partner's fleet.
func (fleet *Fleet) Lend(peer *Fleet) {
	fleet.peer = peer
	for index, process := range fleet.Proxies[:min(fleet.Spec.Guests, len(fleet.Proxies))] {
		zone, publicAddress := peer.zones[index%len(peer.zones)], fleet.newAddress()
		process.arguments = append(
			process.arguments,
			"--guest-name",
			"guest-"+process.Name,
			"--guest-zone",
			zone,
			"--guest-listen",
			publicAddress,
			"--guest-wire",
			fleet.newAddress(),
			"--guest-operate",
			fleet.newAddress(),
			"--lend-rps",
			"60",
			"--lend-in-flight",
			"64",
		)
		for _, core := range peer.Cores[:min(3, len(peer.Cores))] {
			process.arguments = append(process.arguments, "--guest-seed", core.InternalAddress)
		}
		peer.guests[publicAddress] = zone
	}
}

func (fleet *Fleet) newAddress() string {
	fleet.nextPort++
	return fmt.Sprintf("127.0.0.1:%d", fleet.nextPort-1)
}

func (fleet *Fleet) newProcess(name, kind string, arguments ...string) *Process {
	return newProcess(fleet.goroutines, fleet.Spec.Bin, fleet.Spec.Folder, name, kind, arguments...)
}

// planProcesses assigns zone, addresses and command line to each process.
func (fleet *Fleet) planProcesses() error {
	platform := fleet.newAddress()
	for index := range fleet.Spec.Backends {
		process := fleet.newProcess(fmt.Sprintf("back-%02d", index), "ojbackend")
		process.Zone, process.Service, process.PublicAddress = fleet.zones[index/len(fleet.services)%len(fleet.zones)], fleet.services[index%len(fleet.services)], fleet.newAddress()
		process.arguments = fleet.backendArguments(process, 0)
		fleet.Backends = append(fleet.Backends, process)
		fleet.backendList = append(
			fleet.backendList,
			standin.Listed{Name: process.Name, Service: process.Service, Address: process.PublicAddress, Zone: process.Zone},
		)
	}
	list := filepath.Join(fleet.Spec.Folder, "backends.json")
	body, _ := json.Marshal(fleet.backendList)
	if err := os.WriteFile(list, body, 0o600); err != nil {
		return rpc.Errorf(rpc.DiskFailure, "%v", err)
	}
	fleet.Platform = fleet.newProcess(
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
		process := fleet.newProcess(fmt.Sprintf("core-%d", index+1), "ojcore")
		process.Zone, process.InternalAddress, process.OperatorAddress = fleet.zones[index%len(fleet.zones)], fleet.newAddress(), fleet.newAddress()
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
	for _, group := range []struct {
		kind      string
		program   string
		count     int
		processes *[]*Process
	}{{"dir", "ojdirectory", fleet.Spec.Directories, &fleet.Directories}, {"proxy", "ojproxy", fleet.Spec.Proxies, &fleet.Proxies}} {
		for index := range group.count {
			process := fleet.newProcess(fmt.Sprintf("%s-%02d", group.kind, index), group.program)
			process.Zone, process.PublicAddress, process.InternalAddress, process.OperatorAddress = fleet.zones[index%len(fleet.zones)], fleet.newAddress(), fleet.newAddress(), fleet.newAddress()
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
			*group.processes = append(*group.processes, process)
		}
	}
	return nil
}

func (fleet *Fleet) backendArguments(process *Process, coldMs int) []string {
	return []string{
		"--listen", process.PublicAddress, "--service", process.Service, "--instance", process.Name, "--cold-ms", fmt.Sprint(coldMs),
		"--journal", filepath.Join(fleet.Spec.Folder, process.Name+journalSuffix),
	}
}
