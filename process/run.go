// Package process contains what the commands share: flags, logs, listeners, signals.
package process

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"k8s.io/klog/v2"

	"orchidjunction/concurrent"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
)

// Version is the version that --version prints.
const Version = "0.1.0"

// Flags parses the command line of a program.
type Flags struct {
	Parser   *flaggy.Parser
	name     string
	logLevel int
}

// NewFlags returns Flags with the flags that all programs have.
func NewFlags(name, about string) *Flags {
	flags := &Flags{Parser: flaggy.NewParser(name), name: name}
	flags.Parser.Description = about
	flags.Parser.Version = Version
	flags.Parser.ShowHelpOnUnexpected = false
	flags.Parser.Int(&flags.logLevel, "", "log-level", "log verbosity, 0 to 9")
	return flags
}

// Parse parses the arguments, which take precedence over those of a --place file.
func (flags *Flags) Parse() {
	arguments, err := expandFlagFile(os.Args[1:])
	flags.Exit(err)
	for index, argument := range arguments {
		if argument == "-" {
			arguments[index] = "/dev/stdin"
		}
	}
	flags.Exit(flags.checkKnown(arguments))
	if err := flags.Parser.ParseArgs(arguments); err != nil {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "%v", err))
	}
	if flags.logLevel < 0 || flags.logLevel > 9 {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "--log-level: %d is not between 0 and 9", flags.logLevel))
	}
	set := flag.NewFlagSet("log", flag.ContinueOnError)
	klog.InitFlags(set)
	for name, value := range map[string]string{"logtostderr": "true", "v": strconv.Itoa(flags.logLevel)} {
		if err := set.Set(name, value); err != nil {
			flags.Exit(rpc.Errorf(rpc.BadFlag, "log: %v", err))
		}
	}
}

// checkKnown rejects unknown flags and stray arguments, which flaggy would silently ignore.
func (flags *Flags) checkKnown(arguments []string) error {
	takesValue := map[string]bool{"help": false, "h": false, "version": false}
	addFlags := func(known []*flaggy.Flag) {
		for _, option := range known {
			_, isBool := option.AssignmentVar.(*bool)
			takesValue[option.LongName], takesValue[option.ShortName] = !isBool, !isBool
		}
	}
	addFlags(flags.Parser.Flags)
	for _, subcommand := range flags.Parser.Subcommands {
		addFlags(subcommand.Flags)
	}
	for index := 0; index < len(arguments); index++ {
		name, _, joined := strings.Cut(strings.TrimLeft(arguments[index], "-"), "=")
		if !strings.HasPrefix(arguments[index], "-") {
			if len(flags.Parser.Subcommands) == 0 {
				return rpc.Errorf(rpc.BadFlag, "unexpected argument %q", arguments[index])
			}
			continue
		}
		valued, found := takesValue[name]
		if !found || name == "" {
			return rpc.Errorf(rpc.BadFlag, "unknown flag %s", arguments[index])
		}
		if valued && !joined {
			index++
		}
	}
	return nil
}

// Exit prints err on one line and exits with status 2. It does nothing if err is nil.
func (flags *Flags) Exit(err error) {
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", flags.name, err)
		os.Exit(2)
	}
}

// expandFlagFile replaces --place by the "flag value" lines of the named file, without flags that
// are also given on the command line.
func expandFlagFile(arguments []string) ([]string, error) {
	for index, argument := range arguments {
		path, found := strings.CutPrefix(argument, "--place=")
		count := 1
		if argument == "--place" && index+1 < len(arguments) {
			path, found, count = arguments[index+1], true, 2
		}
		if !found {
			continue
		}
		others := append(append([]string{}, arguments[:index]...), arguments[index+count:]...)
		body, err := os.ReadFile(path)
		if err != nil {
			return nil, rpc.Errorf(rpc.BadFlag, "--place: %v", err)
		}
		fromFile := []string{}
		for number, line := range strings.Split(string(body), "\n") {
			line = strings.TrimSpace(line)
			if line == "" || strings.HasPrefix(line, "#") {
				continue
			}
			name, value, _ := strings.Cut(line, " ")
			if strings.HasPrefix(name, "-") {
				return nil, rpc.Errorf(rpc.BadFlag, "%s:%d: want \"flag value\"", path, number+1)
			}
			if !isSet(others, name) {
				fromFile = append(fromFile, "--"+name+"="+strings.TrimSpace(value))
			}
		}
		return append(fromFile, others...), nil
	}
	return arguments, nil
}

func isSet(arguments []string, name string) bool {
	for _, argument := range arguments {
		if argument == "--"+name || strings.HasPrefix(argument, "--"+name+"=") {
			return true
		}
	}
	return false
}

// Transport returns the HTTP transport of calls between processes.
func Transport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second, KeepAlive: 5 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 32,
		IdleConnTimeout:     30 * time.Second,
	}
}

// OnTerminate calls hook at SIGTERM or SIGINT.
func OnTerminate(goroutines *concurrent.Group, hook func()) {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	goroutines.OnStop(cancel)
	goroutines.Start(func() {
		<-ctx.Done()
		hook()
	})
}

// LogCounts logs the counters once a minute.
func LogCounts(goroutines *concurrent.Group, counters *metrics.Counters, name string) {
	goroutines.Every(concurrent.Fixed(time.Minute), func() {
		var line strings.Builder
		for _, counter := range counters.Names() {
			fmt.Fprintf(&line, " %s=%d", counter, counters.Get(counter))
		}
		klog.Infof("%s counts:%s", name, line.String())
	})
}
