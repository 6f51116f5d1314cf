package control

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"testing"

	"orchidjunction/consensus"
	"orchidjunction/idempotency"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/replica"
	"orchidjunction/routing"
	"orchidjunction/rpc"
	"orchidjunction/storage"
	"orchidjunction/usage"
)

var updateGolden = flag.Bool("update-stored", false, "regenerate the descriptions in testdata/stored")

const storedDataFolder = "testdata/stored"

// copyFolder copies a folder's files to a new folder that a test may modify.
func copyFolder(test *testing.T, folder string) storage.Folder {
	test.Helper()
	copied := test.TempDir()
	if err := os.CopyFS(copied, os.DirFS(folder)); err != nil {
		test.Fatal(err)
	}
	return storage.Folder(copied)
}

func describeStore(text *bytes.Buffer, state *consensus.State) {
	fmt.Fprintf(
		text,
		"initialized %v, since bootstrap %v, promised %d.%d\n",
		state.Initialized,
		state.SinceBootstrap,
		state.Promised.Number,
		state.Promised.Core,
	)
	for register, accepted := range state.Accepted {
		fmt.Fprintf(
			text,
			"register %d: serial %d under %d.%d, body %x, %d chunks, committed %d\n",
			register,
			accepted.Value.Serial,
			accepted.Term.Number,
			accepted.Term.Core,
			message.DigestOf(accepted.Value.Body),
			len(accepted.Value.Chunks),
			state.Committed[register].Serial,
		)
		for _, ref := range accepted.Value.Chunks {
			fmt.Fprintf(text, "  chunk %s %x, %d bytes\n", ref.Path, ref.Digest, len(state.Chunks[ref.Digest]))
		}
	}
	if membership := state.Membership(); membership != nil {
		fmt.Fprintf(
			text,
			"membership %d under %d.%d: last id %d\n",
			membership.Version.Serial,
			membership.Version.Term.Number,
			membership.Version.Term.Core,
			membership.LastID,
		)
		for _, peer := range membership.Voters {
			fmt.Fprintf(text, "  voter %d at %s\n", peer.ID, peer.Address)
		}
		for _, peer := range membership.Next {
			fmt.Fprintf(text, "  next voter %d at %s\n", peer.ID, peer.Address)
		}
	}
}

func describeSettings(test *testing.T, text *bytes.Buffer, state *consensus.State) {
	value := state.Accepted[message.SettingsRegister].Value
	current, err := decodeContent(nil, value, state.Chunks)
	if err != nil {
		test.Fatal(err)
	}
	if current.tree == nil {
		return
	}
	fmt.Fprintf(text, "settings %d: %x\n", current.serial, message.DigestOf(current.tree.Body()))
	for _, entry := range current.history {
		fmt.Fprintf(text, "  change %d %s %s %s by %q\n", entry.Serial, entry.Change, entry.Digest, entry.Kind, entry.Operator)
	}
}

func describeRouting(test *testing.T, text *bytes.Buffer, state *consensus.State) {
	stored, err := routing.DecodeState(state.Accepted[message.RoutingRegister].Value.Body)
	if err != nil {
		test.Fatal(err)
	}
	fmt.Fprintf(
		text,
		"routing %d: %d routes, %d services, evacuated %v, %d restored\n",
		stored.Config.Version,
		len(stored.Config.Routes),
		len(stored.Config.Services),
		stored.Evacuated,
		len(stored.Restored),
	)
	for version := range uint64(10) {
		fmt.Fprintf(text, "  version %d forgotten: %v\n", version, stored.History.MayHaveDropped(version))
	}
	for _, zone := range []string{"z0", "z1", "z2"} {
		fmt.Fprintf(text, "  zone %s changed %d times\n", zone, stored.ZoneChangeCount(zone))
	}
}

func sortedCounts(counts map[string]uint64) string {
	names := []string{}
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	formatted := ""
	for _, name := range names {
		formatted += fmt.Sprintf(" %s=%d", name, counts[name])
	}
	return formatted
}

// describeReports describes the reports register, either as sums by tenant or as windows.
func describeReports(test *testing.T, text *bytes.Buffer, state *consensus.State) {
	value := state.Accepted[message.ReportsRegister].Value
	sums := &usage.State{}
	if len(value.Body) > 0 && rpc.Unmarshal(value.Body, sums) == nil {
		fmt.Fprintf(text, "reports of period %d until %d, age %d: open%s\n", sums.Period, sums.ToMs, sums.AgeMs, sortedCounts(sums.Open))
		for _, report := range sums.Pending {
			fmt.Fprintf(text, "  report %s of %s, period %d: %d tasks\n", report.ID, report.Tenant, report.Period, report.Tasks)
		}
		processes := []string{}
		for process := range sums.Reported {
			processes = append(processes, process)
		}
		sort.Strings(processes)
		for _, process := range processes {
			fmt.Fprintf(
				text,
				"  process %s seen at %d:%s\n",
				process,
				sums.Reported[process].SeenMs,
				sortedCounts(sums.Reported[process].Counts),
			)
		}
		return
	}
	windows, err := usage.DecodeWindowState(value)
	if err != nil {
		test.Fatal(err)
	}
	fmt.Fprintf(text, "windows: next %d\n", windows.Next)
	for _, sealed := range windows.Sealed {
		fmt.Fprintf(text, "  window %d reported %v:%s\n", sealed.Window, sealed.Reported, sortedCounts(sealed.Tenants))
	}
}

// completeVoter returns the voter for which the log is complete, 0 for none.
func completeVoter(log *idempotency.Log) int {
	for id := range 100 {
		if log.CompleteFor(id) {
			return id
		}
	}
	return 0
}

func describeClaims(test *testing.T, text *bytes.Buffer, disk storage.Disk) {
	log, err := idempotency.OpenLog(disk, 0, metrics.NewCounters())
	if err != nil {
		test.Fatal(err)
	}
	defer log.Close()
	claims, last, done := log.Store().Page(0, 1<<20)
	fmt.Fprintf(
		text,
		"claims: %d, last %d, done %v, complete for %d, membership %d\n",
		len(claims),
		last,
		done,
		completeVoter(log),
		log.Membership().Value.Serial,
	)
	for _, claim := range claims {
		fmt.Fprintf(
			text,
			"  %s/%s/%s %s by %s: stage %d, status %d, %d headers, body %x\n",
			claim.Key.Tenant,
			claim.Key.Service,
			claim.Key.Key,
			claim.ID,
			claim.Holder,
			claim.Stage,
			claim.Status,
			len(claim.Header),
			message.DigestOf(claim.Body),
		)
	}
}

// describe opens a core's data folder and describes everything in it.
func describe(test *testing.T, disk storage.Disk) string {
	test.Helper()
	store, err := replica.OpenStore(disk)
	if err != nil {
		test.Fatal(err)
	}
	defer store.Close()
	text := &bytes.Buffer{}
	describeStore(text, store.State())
	describeSettings(test, text, store.State())
	describeRouting(test, text, store.State())
	describeReports(test, text, store.State())
	describeClaims(test, text, disk)
	return text.String()
}

// Data folders written by the release of December 2026 are read as that release read them, and
// again after this release has written its own snapshot. They are from a leader, a follower, a
// core that lost power, a learner, a replaced core and its replacement, a core with a snapshot,
// and one whose last record is torn.
func TestStoredDataStaysReadable(test *testing.T) {
	entries, err := os.ReadDir(storedDataFolder)
	if err != nil {
		test.Fatal(err)
	}
	folders := 0
	for _, entry := range entries {
		if !entry.IsDir() {
			continue
		}
		folders++
		disk := copyFolder(test, filepath.Join(storedDataFolder, entry.Name()))
		file := filepath.Join(storedDataFolder, entry.Name()+".golden")
		got := describe(test, disk)
		if *updateGolden {
			if err := os.WriteFile(file, []byte(got), 0o600); err != nil {
				test.Fatal(err)
			}
		}
		want, err := os.ReadFile(file)
		if err != nil {
			test.Fatal(err)
		}
		if got != string(want) {
			test.Errorf("folder %s is read as\n%s\nwant\n%s", entry.Name(), got, want)
		}
		if again := describe(test, disk); again != string(want) {
			test.Errorf("folder %s is read the second time as\n%s\nwant\n%s", entry.Name(), again, want)
		}
	}
	if folders != 7 {
		test.Errorf("%d folders, want 7", folders)
	}
}
