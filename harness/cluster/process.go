// Package cluster runs a deployment of real processes on one machine and injects faults.
// A Spec sets its size, a Fleet starts its Processes, a Scenario injects faults while callers
// and operators are active, and Fleet.Run returns the verdicts of package checker.
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

// Process is one program of the fleet; it can be restarted. Its PublicAddress,
// InternalAddress and OperatorAddress (host:port) serve callers, other daemons and operators.
type Process struct {
	Name            string
	Kind            string
	Zone            string
	Service         string
	PublicAddress   string
	InternalAddress string
	OperatorAddress string
	executable      string
	arguments       []string
	logPath         string
	goroutines      *concurrent.Group

	mutex    sync.Mutex
	exited   *sync.Cond
	command  *exec.Cmd
	alive    bool
	exitCode int
}

// Start starts the process unless it is running, and appends its output to its log file.
func (process *Process) Start() error {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if process.alive {
		return nil
	}
	log, err := os.OpenFile(process.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return rpc.Errorf(rpc.DiskFailure, "%v", err)
	}
	command := exec.Command(process.executable, process.arguments...)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		_ = log.Close() // nothing was written
		return rpc.Errorf(rpc.BadFlag, "%s: %v", process.Name, err)
	}
	process.command, process.alive = command, true
	process.goroutines.Start(func() {
		_ = command.Wait() // the exit code is read below
		_ = log.Close()    // the process has its own descriptor
		process.mutex.Lock()
		process.alive, process.exitCode = false, command.ProcessState.ExitCode()
		process.exited.Broadcast()
		process.mutex.Unlock()
	})
	return nil
}

// Signal sends a signal to the process if it is running.
func (process *Process) Signal(signal syscall.Signal) {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if process.alive {
		_ = process.command.Process.Signal(signal) // it may just have ended
	}
}

// Alive reports whether the process is running.
func (process *Process) Alive() bool {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	return process.alive
}

// Wait returns the exit code once the process has ended. It kills it after the timeout.
func (process *Process) Wait(timeout time.Duration) int {
	timer := time.AfterFunc(timeout, func() { process.Signal(syscall.SIGKILL) })
	defer timer.Stop()
	process.mutex.Lock()
	defer process.mutex.Unlock()
	for process.alive {
		process.exited.Wait()
	}
	return process.exitCode
}

func newProcess(goroutines *concurrent.Group, bin, folder, name, kind string, arguments ...string) *Process {
	process := &Process{
		Name:       name,
		Kind:       kind,
		executable: filepath.Join(bin, kind),
		arguments:  arguments,
		logPath:    filepath.Join(folder, name+".log"),
		goroutines: goroutines,
	}
	process.exited = sync.NewCond(&process.mutex)
	return process
}
