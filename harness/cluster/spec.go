package cluster

import (
	"fmt"
	"net"
	"os"
	"path/filepath"

	"orchidjunction/config"
	"orchidjunction/rpc"
)

// Spec is the size of a fleet and its load: Rate requests a second for Seconds,
// MoneyPart percent of them with an idempotency key, about Changes changes of
// settings a second. Ports are taken from BasePort on. LagMs is how late the
// platform's list is.
type Spec struct {
	Settings    string
	Bin         string
	Folder      string
	BasePort    int
	Cores       int
	Directories int
	Proxies     int
	Backends    int
	Rate        int
	MoneyPart   int
	Seconds     float64
	Seed        uint64
	ColdMs      int
	LagMs       int
	Changes     int
	Tries       int
	Guests      int
}

// Sizes are the fleets that have a name.
var Sizes = map[string]Spec{
	"small":  {Settings: "small", Cores: 3, Directories: 2, Proxies: 4, Backends: 6, Rate: 60, MoneyPart: 25},
	"volta":  {Settings: "volta", Cores: 3, Directories: 2, Proxies: 9, Backends: 33, Rate: 220, MoneyPart: 25},
	"saqtau": {Settings: "saqtau", Cores: 3, Directories: 2, Proxies: 10, Backends: 36, Rate: 460, MoneyPart: 25},
}

// Both is the size of the two partners' fleets in one run, lending to each other.
const Both = "both"

// outgoingPorts begin here; a daemon that restarts could find its own taken.
const outgoingPorts = 32768

// newCores is the number of cores that a scenario may add.
const newCores = 3

// Ports returns the number of ports that the fleet takes.
func (spec *Spec) Ports() int {
	return 2*(spec.Cores+newCores) + 3*(spec.Directories+spec.Proxies+spec.Guests) + spec.Backends + 1
}

// Check reads the settings and returns rpc.BadFlag or rpc.Invalid for what could
// not run, before anything starts.
func (spec *Spec) Check() (*config.Settings, []byte, error) {
	if spec.Cores%2 == 0 || spec.Cores < 1 || spec.Cores > 7 || spec.Directories < 1 || spec.Proxies < 1 || spec.Proxies > 64 ||
		spec.Backends < 1 ||
		spec.Backends > 256 {
		return nil, nil, rpc.Errorf(
			rpc.BadFlag,
			"impossible size: %d cores, %d directories, %d proxies, %d backends",
			spec.Cores,
			spec.Directories,
			spec.Proxies,
			spec.Backends,
		)
	}
	if spec.Rate < 1 || spec.Rate > 5000 || spec.Seconds < 1 || spec.Seconds > 3600 {
		return nil, nil, rpc.Errorf(rpc.BadFlag, "impossible load: %d a second for %v seconds", spec.Rate, spec.Seconds)
	}
	if spec.BasePort < 1024 || spec.BasePort+spec.Ports() > outgoingPorts {
		return nil, nil, rpc.Errorf(
			rpc.BadFlag,
			"--base-port: %d and the %d after it are not all between 1024 and %d, below those of outgoing connections",
			spec.BasePort,
			spec.Ports(),
			outgoingPorts,
		)
	}
	body, err := os.ReadFile(spec.Settings)
	if err != nil {
		return nil, nil, rpc.Errorf(rpc.BadFlag, "--settings: %v", err)
	}
	settings, err := config.Read(body)
	if err != nil {
		return nil, nil, err
	}
	for _, program := range []string{"ojcore", "ojdirectory", "ojproxy", "ojbackend", "ojplatform", "ojload"} {
		if _, err := os.Stat(filepath.Join(spec.Bin, program)); err != nil {
			return nil, nil, rpc.Errorf(rpc.BadFlag, "--bin: %v", err)
		}
	}
	for port := spec.BasePort; port < spec.BasePort+spec.Ports(); port++ {
		open, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return nil, nil, rpc.Errorf(rpc.BadFlag, "--base-port: %v", err)
		}
		open.Close()
	}
	return settings, body, nil
}
