package hostproxy

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// net/http's clients resend some requests on their own, so the proxy must not use them.
func TestDoesNotUseHTTPClient(test *testing.T) {
	names, err := filepath.Glob("*.go")
	if err != nil {
		test.Fatal(err)
	}
	parsed := 0
	forbidden := map[string]bool{
		"Transport": true, "DefaultTransport": true, "Client": true, "DefaultClient": true, "ClientConn": true, "RoundTripper": true,
		"Get": true, "Post": true, "Head": true, "PostForm": true, "NewRequest": true, "NewRequestWithContext": true,
	}
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			test.Fatal(err)
		}
		parsed++
		for _, imported := range file.Imports {
			if strings.HasSuffix(imported.Path.Value, "httputil\"") {
				test.Errorf("%s imports %s", name, imported.Path.Value)
			}
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if selector, found := node.(*ast.SelectorExpr); found {
				if holder, found := selector.X.(*ast.Ident); found && holder.Name == "http" && forbidden[selector.Sel.Name] {
					test.Errorf("%s uses http.%s", name, selector.Sel.Name)
				}
			}
			return true
		})
	}
	if parsed == 0 {
		test.Error("no file of the package was parsed")
	}
}

// A request on an idle connection that the backend closes counts as sent: without budget it is
// not retried, whatever its method.
func TestIdleCloseUsesRetryBudget(test *testing.T) {
	for tokens, want := range map[float64]int{0: 502, 1: 200} {
		for _, reset := range []bool{false, true} {
			withTestEnv(test, func(env *testEnv) {
				env.addBackend("b1")
				reply, id := env.get("/again/a")
				env.expectSuccess(reply, id)
				env.addBackendAt("b2", "plain", "e2", 8)
				if reset {
					env.backends["b1"].handleNext(resetAfterReading)
				} else {
					env.backends["b1"].closeConnections()
				}
				env.proxy.view.Load().budgets[0].tokens = tokens - 0.15
				reply, _ = env.get("/again/a")
				if reply.status != want || len(env.backends["b2"].requests()) != (502-want)/302 {
					test.Errorf(
						"budget %v, reset %v: %d, %d arrivals at the other backend",
						tokens,
						reset,
						reply.status,
						len(env.backends["b2"].requests()),
					)
				}
			})
		}
	}
}

// A response that arrives after its request has timed out reaches no client: the connection is
// closed with the request.
func TestLateResponseAfterTimeout(test *testing.T) {
	for _, path := range []string{"/once/a", "/again/a"} {
		withTestEnv(test, func(env *testEnv) {
			env.addBackend("b1").handleNext(delayed(1560*time.Millisecond, succeed))
			if reply, _ := env.get(path); reply.status != 504 {
				test.Errorf("%s: %d", path, reply.status)
			}
			for range 3 {
				reply, id := env.get("/once/b")
				env.expectSuccess(reply, id)
				env.goroutines.Sleep(20 * time.Millisecond)
			}
			if connections := env.backends["b1"].connections(); connections != 2 || env.counters.Get("answers_surplus") != 0 {
				test.Errorf("%s: %d connections, %d surplus responses", path, connections, env.counters.Get("answers_surplus"))
			}
		})
	}
}

// A refusal is accepted by its head; a missing body does not delay the request.
func TestRefusalWithIncompleteBody(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		stalled := onFirstRequest(func(exchange *exchange) bool {
			exchange.writef("HTTP/1.1 503 X\r\nAttempt: %s\r\nNot-Executed: full\r\nContent-Length: 100\r\n\r\nfu", exchange.get("Attempt"))
			return neverRespond(exchange)
		})
		env.addBackend("b1").handleByDefault(stalled)
		env.addBackend("b2").handleByDefault(stalled)
		reply, id := env.get("/once/a")
		env.expectSuccess(reply, id)
		if reply.elapsed > 2*refusalDrainTimeout {
			test.Errorf("response after %s", reply.elapsed)
		}
	})
}

// The backend may have read a truncated head as a complete request, so it is not retried.
func TestTruncatedHeadMayHaveExecuted(test *testing.T) {
	withTestEnv(test, func(env *testEnv) {
		readPart := func(pipe *pipe) {
			_, _ = io.ReadFull(pipe, make([]byte, 20<<10)) // fewer bytes if the proxy gives up first
			pipe.reset()
		}
		env.addBackend("b1").onConnect(readPart)
		env.addBackend("b2").onConnect(readPart)
		client := env.client()
		defer client.conn.Close()
		reply := client.roundTrip("GET", rawRequest("GET", "/once/a", "id", "Long: "+string(letters(0, 200<<10))+"\r\n", ""))
		if reply.status != 502 || env.counters.Get("connections_opened") != 1 {
			test.Errorf("%d, %d connections", reply.status, env.counters.Get("connections_opened"))
		}
	})
}
