// Package process is what the commands share: flags, logs, listeners, signals.
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

// Release is the version that the programs tell.
const Release = "0.1.0"

// Flags is one program's command line.
type Flags struct {
	Parser *flaggy.Parser
	name   string
	levels int
}

// NewFlags begins a program's command line with the flags that all programs have.
func NewFlags(name, about string) *Flags {
	flags := &Flags{Parser: flaggy.NewParser(name), name: name}
	flags.Parser.Description = about
	flags.Parser.Version = Release
	flags.Parser.ShowHelpOnUnexpected = false
	flags.Parser.Int(&flags.levels, "", "log-level", "verbosity of the log, 0 to 9")
	return flags
}

// Parse reads the arguments, which take precedence over those of a --place file.
func (flags *Flags) Parse() {
	arguments, err := configFile(os.Args[1:])
	flags.Exit(err)
	for index, argument := range arguments {
		if argument == "-" {
			arguments[index] = "/dev/stdin"
		}
	}
	flags.Exit(flags.known(arguments))
	if err := flags.Parser.ParseArgs(arguments); err != nil {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "%v", err))
	}
	if flags.levels < 0 || flags.levels > 9 {
		flags.Exit(rpc.Errorf(rpc.BadFlag, "--log-level: %d is not in 0 to 9", flags.levels))
	}
	set := flag.NewFlagSet("log", flag.ContinueOnError)
	klog.InitFlags(set)
	for name, value := range map[string]string{"logtostderr": "true", "v": strconv.Itoa(flags.levels)} {
		if err := set.Set(name, value); err != nil {
			flags.Exit(rpc.Errorf(rpc.BadFlag, "log: %v", err))
		}
	}
}

// known refuses what flaggy would pass over in silence.
func (flags *Flags) known(arguments []string) error {
	takesValue := map[string]bool{"help": false, "h": false, "version": false}
	learn := func(known []*flaggy.Flag) {
		for _, one := range known {
			_, switched := one.AssignmentVar.(*bool)
			takesValue[one.LongName], takesValue[one.ShortName] = !switched, !switched
		}
	}
	learn(flags.Parser.Flags)
	for _, subcommand := range flags.Parser.Subcommands {
		learn(subcommand.Flags)
	}
	for index := 0; index < len(arguments); index++ {
		name, _, joined := strings.Cut(strings.TrimLeft(arguments[index], "-"), "=")
		if !strings.HasPrefix(arguments[index], "-") {
			if len(flags.Parser.Subcommands) == 0 {
				return rpc.Errorf(rpc.BadFlag, "%q belongs to no flag", arguments[index])
			}
			continue
		}
		valued, found := takesValue[name]
		if !found || name == "" {
			return rpc.Errorf(rpc.BadFlag, "no flag %s", arguments[index])
		}
		if valued && !joined {
			index++
		}
	}
	return nil
}

// Exit ends with status 2 and one line, where there is an error.
func (flags *Flags) Exit(err error) {
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", flags.name, err)
		os.Exit(2)
	}
}

// configFile turns the lines "flag value" of a file into arguments; the command line wins.
func configFile(arguments []string) ([]string, error) {
	for index, argument := range arguments {
		path, given := strings.CutPrefix(argument, "--place=")
		width := 1
		if argument == "--place" && index+1 < len(arguments) {
			path, given, width = arguments[index+1], true, 2
		}
		if !given {
			continue
		}
		rest := append(append([]string{}, arguments[:index]...), arguments[index+width:]...)
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
			if !overridden(rest, name) {
				fromFile = append(fromFile, "--"+name+"="+strings.TrimSpace(value))
			}
		}
		return append(fromFile, rest...), nil
	}
	return arguments, nil
}

func overridden(arguments []string, name string) bool {
	for _, argument := range arguments {
		if argument == "--"+name || strings.HasPrefix(argument, "--"+name+"=") {
			return true
		}
	}
	return false
}

// Transport is how processes reach each other.
func Transport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second, KeepAlive: 5 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 32,
		IdleConnTimeout:     30 * time.Second,
	}
}

// OnTerm calls the hook at SIGTERM or SIGINT.
func OnTerm(goroutines *concurrent.Group, hook func()) {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	goroutines.OnStop(cancel)
	goroutines.Start(func() {
		<-ctx.Done()
		hook()
	})
}

// LogCounts writes the counters now and then.
func LogCounts(goroutines *concurrent.Group, counters *metrics.Counters, name string) {
	goroutines.Every(concurrent.Fixed(time.Minute), func() {
		var line strings.Builder
		for _, counter := range counters.Names() {
			fmt.Fprintf(&line, " %s=%d", counter, counters.Get(counter))
		}
		klog.Infof("%s counts:%s", name, line.String())
	})
}
