package capacity

import (
	"net/http"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/control"
	"orchidjunction/metrics"
	"orchidjunction/process"
	"orchidjunction/rpc"
	"orchidjunction/storage"
)

// The paces are those of cmd/orchidjunction.
const (
	beatPace    = 150 * time.Millisecond
	suspectSpan = 750 * time.Millisecond
	tablePace   = 150 * time.Millisecond
	sessionSpan = 2500 * time.Millisecond
	listPace    = 500 * time.Millisecond
	goneAfter   = 2
	settleSpan  = 3500 * time.Millisecond
	userTimeout = 1500 * time.Millisecond
	sendLimit   = 800 * time.Millisecond
	seekPace    = 50 * time.Millisecond
	sessionPace = 500 * time.Millisecond
	watchPace   = 2500 * time.Millisecond
	feelPace    = 500 * time.Millisecond
	lookPace    = 500 * time.Millisecond
	meterWindow = 5 * time.Second
	meterQuiet  = 3 * time.Second
)

// CoreSpec is the configuration of one core process, passed as JSON on its command
// line. SlowUs is processor time in microseconds that it wastes on each session.
type CoreSpec struct {
	Name     string
	Zone     string
	Wire     string
	Report   string
	Seeds    []string
	Folder   string
	Cores    int
	Platform string
	Metered  bool
	SlowUs   int
}

// slowed burns processor time on one kind of message.
func slowed(handler http.Handler, path string, span time.Duration) http.Handler {
	if span <= 0 {
		return handler
	}
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == path {
			for until := time.Now().Add(span); time.Now().Before(until); {
			}
		}
		handler.ServeHTTP(writer, request)
	})
}

// RunCore is the main function of a core process; it returns when the process is
// stopped.
func RunCore(spec CoreSpec) error {
	goroutines, counters, tap := concurrent.NewGroup(), metrics.NewCounters(), newByteCounter()
	client := rpc.NewClient(tap.transport())
	config := control.Config{
		Name:              spec.Name,
		Zone:              spec.Zone,
		InternalAddress:   spec.Wire,
		Seeds:             spec.Seeds,
		Bootstrap:         true,
		MinFounders:       spec.Cores,
		PlatformAddress:   spec.Platform,
		HeartbeatInterval: beatPace,
		SuspicionTimeout:  suspectSpan,
		Seed:              uint64(time.Now().UnixNano()),
		DirectSessions:    true,
		TableInterval:     tablePace,
		SessionTTL:        sessionSpan,
		ListInterval:      listPace,
		ListsUntilGone:    goneAfter,
	}
	if spec.Metered {
		config.Metering = control.Metering{
			Window: meterWindow, SettleAfter: settleSpan, TakeoverQuiet: meterQuiet,
			Report: func(control.WindowReport) control.ReportResult { return control.ReportAccepted },
		}
	}
	if err := config.Check(); err != nil {
		return err
	}
	core, err := control.NewCore(config, storage.Folder(spec.Folder), client, goroutines, counters)
	if err != nil {
		return err
	}
	server := rpc.NewServer(counters)
	core.Register(server)
	if err := tap.serve(spec.Wire, slowed(server, "/oj/session", time.Duration(spec.SlowUs)*time.Microsecond), goroutines); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/reading", func(writer http.ResponseWriter, _ *http.Request) {
		reading := tap.read()
		serial, _ := core.Routing()
		table := core.Table()
		reading.Leads, reading.Routing = core.Leads(), serial
		reading.Members, reading.Backends = len(table.Members), len(table.Backends)
		reading.Counts = counters.All()
		writeJSON(writer, reading)
	})
	if err := newByteCounter().serve(spec.Report, mux, goroutines); err != nil {
		return err
	}
	core.Run()
	process.OnTerm(goroutines, goroutines.Stop)
	goroutines.Wait()
	core.Close()
	return nil
}
