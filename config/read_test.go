package config_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"orchidjunction/config"
	"orchidjunction/rpc"
)

// TestTree applies a patch to the small example and prints the errors, or an effective value
// of a route. It also compares Flatten with Resolve.
func TestTree(test *testing.T) {
	base, err := os.ReadFile("../examples/small.json")
	if err != nil {
		test.Fatal(err)
	}
	datadriven.Walk(test, "testdata/tree", func(test *testing.T, path string) {
		datadriven.RunTest(test, path, func(test *testing.T, data *datadriven.TestData) string {
			body := []byte(data.Input)
			if data.Cmd != "text" {
				patched, err := config.Patch(base, body)
				if err != nil {
					return err.Error() + "\n"
				}
				body = patched
			}
			settings, err := config.Read(body)
			if err != nil {
				lines := []string{}
				for _, detail := range rpc.AsError(err).Details {
					lines = append(lines, fmt.Sprintf("%s: %s: %s", detail.Path, detail.Code, detail.Message))
				}
				return strings.Join(lines, "\n") + "\n"
			}
			for index, effective := range settings.Resolve() {
				flat := settings.Flatten()[index]
				if flat.Route != effective.Route ||
					flat.Service != effective.Service ||
					flat.Class != effective.Class ||
					flat.KeyRequired != effective.KeyRequired ||
					flat.TimeoutMs != effective.Integer("limit_ms") ||
					flat.Attempts != effective.Integer("sends") ||
					flat.BodyBytes != effective.Integer("body_bytes") ||
					flat.ResponseBytes != effective.Integer("receipt_bytes") ||
					flat.IdleConnections != effective.Integer("pipes") ||
					fmt.Sprint(flat.ForbidRegions) != fmt.Sprint(effective.ForbidRegions()) {
					test.Errorf("%s: flattened %+v, resolved %+v", effective.Route, flat, effective)
				}
			}
			if data.Cmd != "effective" {
				return "valid\n"
			}
			var route, field string
			data.ScanArgs(test, "route", &route)
			data.ScanArgs(test, "field", &field)
			for _, effective := range settings.Resolve() {
				if effective.Route == route {
					return fmt.Sprintf("%v from %s\n", effective.Values[field].Value, effective.Values[field].From)
				}
			}
			return "no such route\n"
		})
	})
}
