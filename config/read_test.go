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

// TestTree lays one partial change over the small example and shows what is
// wrong with the whole, or what one route then inherits.
func TestTree(test *testing.T) {
	base, err := os.ReadFile("../examples/small.json")
	if err != nil {
		test.Fatal(err)
	}
	datadriven.Walk(test, "testdata/tree", func(test *testing.T, path string) {
		datadriven.RunTest(test, path, func(test *testing.T, line *datadriven.TestData) string {
			body := []byte(line.Input)
			if line.Cmd != "text" {
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
					test.Errorf("%s: %+v is not %+v", effective.Route, flat, effective)
				}
			}
			if line.Cmd != "effective" {
				return "valid\n"
			}
			var route, field string
			line.ScanArgs(test, "route", &route)
			line.ScanArgs(test, "field", &field)
			for _, effective := range settings.Resolve() {
				if effective.Route == route {
					return fmt.Sprintf("%v from %s\n", effective.Values[field].Value, effective.Values[field].From)
				}
			}
			return "no such route\n"
		})
	})
}
