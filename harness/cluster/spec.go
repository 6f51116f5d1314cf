package cluster

import (
	"fmt"
	"net"
	"os"
	"path/filepath"

	"orchidjunction/config"
	"orchidjunction/rpc"
)

// Spec is the size of a fleet and its load: Rate requests per second for Seconds, MoneyPart
// percent of them with an idempotency key, with about Changes settings changes per second.
// BasePort is the first port. LagMs is the delay of the platform's list.
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

// Sizes holds the predefined fleets by name.
var Sizes = map[string]Spec{
	"small":  {Settings: "small", Cores: 3, Directories: 2, Proxies: 4, Backends: 6, Rate: 60, MoneyPart: 25},
	"volta":  {Settings: "volta", Cores: 3, Directories: 2, Proxies: 9, Backends: 33, Rate: 220, MoneyPart: 25},
	"saqtau": {Settings: "saqtau", Cores: 3, Directories: 2, Proxies: 10, Backends: 36, Rate: 460, MoneyPart: 25},
}

// Both is the size that runs the fleets of both partners, which lend to each other.
const Both = "both"

// firstEphemeralPort is the first port that outgoing connections use. All ports of the fleet are
// below it, since a connection could otherwise use the port of a daemon that restarts.
const firstEphemeralPort = 32768

// maxAddedCores is the number of cores that a scenario may add.
const maxAddedCores = 3

// Ports returns the number of ports that the fleet needs.
func (spec *Spec) Ports() int {
	return 2*(spec.Cores+maxAddedCores) + 3*(spec.Directories+spec.Proxies+spec.Guests) + spec.Backends + 1
}

// Check reads the settings and returns rpc.BadFlag or rpc.Invalid if the fleet could not run.
func (spec *Spec) Check() (*config.Settings, []byte, error) {
	if spec.Cores%2 == 0 || spec.Cores < 1 || spec.Cores > 7 || spec.Directories < 1 || spec.Proxies < 1 || spec.Proxies > 64 ||
		spec.Backends < 1 ||
		spec.Backends > 256 {
		return nil, nil, rpc.Errorf(
			rpc.BadFlag,
			"invalid size: %d cores, %d directories, %d proxies, %d backends",
			spec.Cores,
			spec.Directories,
			spec.Proxies,
			spec.Backends,
		)
	}
	if spec.Rate < 1 || spec.Rate > 5000 || spec.Seconds < 1 || spec.Seconds > 3600 {
		return nil, nil, rpc.Errorf(rpc.BadFlag, "invalid load: %d requests per second for %v s", spec.Rate, spec.Seconds)
	}
	if spec.BasePort < 1024 || spec.BasePort+spec.Ports() > firstEphemeralPort {
		return nil, nil, rpc.Errorf(
			rpc.BadFlag,
			"--base-port: the %[2]d ports from %[1]d on must be at least 1024 and below %[3]d, where ports of outgoing connections start",
			spec.BasePort,
			spec.Ports(),
			firstEphemeralPort,
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
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return nil, nil, rpc.Errorf(rpc.BadFlag, "--base-port: %v", err)
		}
		listener.Close()
	}
	return settings, body, nil
}
