// Package cluster runs a whole deployment of real processes on one machine and
// injects faults into it. A Spec says its size, a Fleet starts its Processes, a
// Scenario injects faults while callers and operators work, and Fleet.Play returns
// the verdicts of package checker.
package cluster

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/rpc"
)

// Process is one program of the fleet; it can be started again after it ended.
// Outer, Wire and Operate are the addresses (host:port) at which it serves callers,
// other daemons and operators.
type Process struct {
	Name            string
	Kind            string
	Zone            string
	Service         string
	PublicAddress   string
	InternalAddress string
	OperatorAddress string
	path            string
	arguments       []string
	log             string
	goroutines      *concurrent.Group

	mutex   sync.Mutex
	wake    *sync.Cond
	command *exec.Cmd
	alive   bool
	code    int
}

// Start starts the process unless it runs. Its output is appended to its log file.
func (process *Process) Start() error {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if process.alive {
		return nil
	}
	log, err := os.OpenFile(process.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return rpc.Errorf(rpc.DiskFailure, "%v", err)
	}
	command := exec.Command(process.path, process.arguments...)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		_ = log.Close() // nothing was written
		return rpc.Errorf(rpc.BadFlag, "%s: %v", process.Name, err)
	}
	process.command, process.alive = command, true
	process.goroutines.Start(func() {
		_ = command.Wait() // its exit code is read below
		_ = log.Close()    // the process wrote through a descriptor of its own
		process.mutex.Lock()
		process.alive, process.code = false, command.ProcessState.ExitCode()
		process.wake.Broadcast()
		process.mutex.Unlock()
	})
	return nil
}

// Signal sends a signal to the process if it runs.
func (process *Process) Signal(signal syscall.Signal) {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if process.alive {
		_ = process.command.Process.Signal(signal) // one that just ended needs none
	}
}

// Alive reports whether the process runs.
func (process *Process) Alive() bool {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	return process.alive
}

// Wait returns the exit code once the process has ended; it kills the process after
// the limit.
func (process *Process) Wait(limit time.Duration) int {
	beat := time.AfterFunc(limit, func() { process.Signal(syscall.SIGKILL) })
	defer beat.Stop()
	process.mutex.Lock()
	defer process.mutex.Unlock()
	for process.alive {
		process.wake.Wait()
	}
	return process.code
}

func newProcess(goroutines *concurrent.Group, bin, folder, name, kind string, arguments ...string) *Process {
	process := &Process{
		Name:       name,
		Kind:       kind,
		path:       filepath.Join(bin, kind),
		arguments:  arguments,
		log:        filepath.Join(folder, name+".log"),
		goroutines: goroutines,
	}
	process.wake = sync.NewCond(&process.mutex)
	return process
}
