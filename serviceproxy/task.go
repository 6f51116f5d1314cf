package serviceproxy

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"orchidjunction/agent"
	"orchidjunction/config"
	"orchidjunction/rpc"
)

const (
	retryAfterMs = 1000
	keyHeader    = "Idempotency-Key"
)

// task is one caller's request while the proxy handles it.
type task struct {
	proxy       *Proxy
	plan        *plan
	state       *stateMachine
	id          string
	request     *http.Request
	tenant      int
	route       *config.FlatRoute
	path        string
	body        []byte
	deadline    time.Time
	tried       map[*Target]bool
	response    *Response
	cleanup     func()
	replayed    bool
	fingerprint uint64
	maybeRan    bool
}

// ServeHTTP forwards a caller's request to a backend and returns its response.
func (proxy *Proxy) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	task := &task{
		proxy: proxy, state: newStateMachine(proxy.counters), request: request, tried: map[*Target]bool{}, cleanup: func() {},
		id: proxy.prefix + "-" + strconv.FormatUint(proxy.taskIDs.Add(1), 36),
	}
	defer func() { task.cleanup() }()
	writer.Header().Set("Oj-Task", task.id)
	if _, leaving := proxy.daemon.TimeToStop(); leaving {
		writer.Header().Set("Connection", "close")
	}
	if err := task.serve(writer); err != nil {
		task.refuse(writer, *rpc.AsError(err))
		return
	}
	task.deliver(writer)
}

// refuse writes an error response. An error without an outcome means that the request did not run.
func (task *task) refuse(writer http.ResponseWriter, refusal rpc.Error) {
	if refusal.Outcome == "" {
		refusal.Outcome = rpc.NotRun
	}
	if refusal.Outcome == rpc.NotRun {
		task.state.advance(Refused)
	} else {
		task.state.advance(Unknown)
	}
	if task.maybeRan {
		task.proxy.retries.recordFailure(task.fingerprint)
	}
	task.proxy.counters.Add("refused_"+string(refusal.Code), 1)
	agent.WriteError(writer, &refusal)
}

func (task *task) deliver(writer http.ResponseWriter) {
	if err := task.response.write(writer, task.route.ResponseBytes, task.replayed); err != nil {
		task.state.advance(Aborted)
		panic(http.ErrAbortHandler)
	}
	if !task.replayed {
		task.state.advance(Answered)
	}
}

func (task *task) serve(writer http.ResponseWriter) error {
	task.plan = task.proxy.plan.Load()
	if task.plan == nil || !task.proxy.daemon.Ready() {
		return task.redirect(rpc.NotReady, "no confirmed settings are in force on this proxy")
	}
	if task.isDrained() {
		writer.Header().Set("Connection", "close")
	}
	for _, step := range []func() error{task.authenticate, task.matchRoute, func() error { return task.readBody(writer) }} {
		if err := step(); err != nil {
			return err
		}
	}
	remoteHost, _, _ := net.SplitHostPort(task.request.RemoteAddr)
	task.fingerprint = fingerprintOf(
		remoteHost+" "+task.plan.routes.TenantName(task.tenant),
		task.request.Header.Get(keyHeader),
		task.request.Method,
		task.request.URL.RequestURI(),
		task.body,
	)
	if !task.route.KeyRequired {
		return task.send()
	}
	return task.sendOnce()
}
