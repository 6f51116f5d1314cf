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

// Roles of machines, which are also the program's subcommands.
const (
	coreRole  = "core"
	proxyRole = "proxy"
)

// machine is one machine with one process, which may be restarted.
type machine struct {
	name, role, address string
	zone                zoneInfo
	ports               ports

	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan struct{} // closed when the current process has exited
	starts  int
}

// ports are a deployment's ports, the same on all machines.
type ports struct{ internal, clients, ready, operators, lookups int }

// internalPortCount is the number of ports for messages between daemons.
const internalPortCount = 16

func (machine *machine) clientsAddress() string {
	return joinPort(machine.address, machine.ports.clients)
}

func (machine *machine) operatorsAddress() string {
	return joinPort(machine.address, machine.ports.operators)
}

func (machine *machine) readyAddress() string { return joinPort(machine.address, machine.ports.ready) }

func joinPort(address string, port int) string { return net.JoinHostPort(address, strconv.Itoa(port)) }

// settingsPath is the path of the machine's settings file.
func (machine *machine) settingsPath(folder string) string {
	return filepath.Join(folder, machine.name+".toml")
}

// launch starts the process with its settings file and appends its output to a log file.
func (machine *machine) launch(program, folder, variable string) error {
	logFile, err := os.OpenFile(filepath.Join(folder, machine.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(program, machine.role)
	command.Env = []string{variable + "=" + machine.settingsPath(folder), "PATH=" + os.Getenv("PATH")}
	command.Stdout, command.Stderr = logFile, logFile
	if err := command.Start(); err != nil {
		_ = logFile.Close() // the start error is the one to report
		return err
	}
	exited := make(chan struct{})
	machine.mutex.Lock()
	machine.command, machine.exited = command, exited
	machine.starts++
	machine.mutex.Unlock()
	go func() {
		_ = command.Wait()  // the exit status is not checked
		_ = logFile.Close() // the process wrote through its own descriptor
		close(exited)
	}()
	return nil
}

func (machine *machine) isFirstStart() bool {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	return machine.starts == 0
}

// pid returns the process ID, 0 before the first start.
func (machine *machine) pid() int {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	if machine.command == nil {
		return 0
	}
	return machine.command.Process.Pid
}

// signal sends a signal to the process, if it is still running.
func (machine *machine) signal(signal syscall.Signal) {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	if machine.command != nil {
		_ = machine.command.Process.Signal(signal)
	}
}

// waitOrKill waits for the process to exit and kills it after the limit; false if it had to.
func (machine *machine) waitOrKill(limit time.Duration) bool {
	machine.mutex.Lock()
	exited := machine.exited
	machine.mutex.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		machine.signal(syscall.SIGKILL)
		<-exited
		return false
	}
}
