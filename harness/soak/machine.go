package soak

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Roles of machines, as the program's subcommands name them.
const (
	coreRole  = "core"
	proxyRole = "proxy"
)

// machine is one machine with one process, which may be started again and again.
type machine struct {
	name, role, address string
	zone                zone
	ports               ports

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{} // closed when the present process has ended
	starts  int
}

// ports of a deployment; they are alike on all machines.
type ports struct{ internal, clients, ready, operators, lookups int }

// internalPorts is how many ports are for messages between daemons.
const internalPorts = 16

func (machine *machine) clientsAddress() string { return at(machine.address, machine.ports.clients) }

func (machine *machine) operatorsAddress() string {
	return at(machine.address, machine.ports.operators)
}
func (machine *machine) readyAddress() string { return at(machine.address, machine.ports.ready) }

func at(address string, port int) string { return net.JoinHostPort(address, strconv.Itoa(port)) }

// launch starts the process with a settings file. Its output is appended to its log file.
func (machine *machine) launch(program, folder, variable string, text []byte) error {
	settingsPath := filepath.Join(folder, machine.name+".toml")
	if err := os.WriteFile(settingsPath, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(folder, machine.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(program, machine.role)
	command.Env = []string{variable + "=" + settingsPath, "PATH=" + os.Getenv("PATH")}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		_ = log.Close() // nothing was written
		return err
	}
	ended := make(chan struct{})
	machine.mutex.Lock()
	machine.command, machine.ended = command, ended
	machine.starts++
	machine.mutex.Unlock()
	go func() {
		_ = command.Wait() // how it ended is of no interest
		_ = log.Close()    // the process wrote through a descriptor of its own
		close(ended)
	}()
	return nil
}

// isFirstStart reports whether the machine's process has never been started.
func (machine *machine) isFirstStart() bool {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	return machine.starts == 0
}

// pid is the number of the process, 0 if there was none yet.
func (machine *machine) pid() int {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	if machine.command == nil {
		return 0
	}
	return machine.command.Process.Pid
}

// signal sends a signal to the process; one that just ended needs none.
func (machine *machine) signal(signal syscall.Signal) {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	if machine.command != nil {
		_ = machine.command.Process.Signal(signal)
	}
}

// awaitEnd waits until the process has ended and kills it after the limit. It returns
// whether it ended by itself.
func (machine *machine) awaitEnd(limit time.Duration) bool {
	machine.mutex.Lock()
	ended := machine.ended
	machine.mutex.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		machine.signal(syscall.SIGKILL)
		<-ended
		return false
	}
}
