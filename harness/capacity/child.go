package capacity

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	"orchidjunction/rpc"
)

type child struct {
	command *exec.Cmd
	report  string
	wire    string
	dead    bool
}

func (bench *bench) begin(kind string, spec any, report, address string, processors int) error {
	body, err := json.Marshal(spec)
	if err != nil {
		return rpc.Errorf(rpc.BadFlag, "%v", err)
	}
	log, err := os.Create(filepath.Join(bench.folder, kind+"-"+strings.ReplaceAll(address, ":", "-")+".log"))
	if err != nil {
		return rpc.Errorf(rpc.DiskFailure, "%v", err)
	}
	defer func() { _ = log.Close() }() // the process writes through a descriptor of its own
	command := exec.Command("/proc/self/exe", kind, "--spec", string(body))
	command.Stdout, command.Stderr = log, log
	command.Env = append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(processors))
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return rpc.Errorf(rpc.BadFlag, "%v", err)
	}
	begun := &child{command: command, report: report, wire: address}
	if kind == "scale-core" {
		bench.cores = append(bench.cores, begun)
	} else {
		bench.simulated = append(bench.simulated, begun)
	}
	return nil
}

func (child *child) end(signal syscall.Signal) {
	if !child.dead {
		child.dead = true
		_ = child.command.Process.Signal(signal) // one that just ended needs none
		_ = child.command.Wait()                 // it ends by the signal, which is an error here
	}
}
