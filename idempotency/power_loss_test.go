package idempotency_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/harness/simulation"
	"orchidjunction/idempotency"
	"orchidjunction/message"
)

const segmentBytes = 6000

// logDriver writes claims to a log and records when each was granted or refused.
type logDriver struct {
	log     *idempotency.TestLog
	random  *rand.Rand
	granted map[message.ClaimKey]time.Time
	refused map[message.ClaimKey]time.Time
	lastKey int
}

func (driver *logDriver) open(disk *simulation.Disk) error {
	log, err := idempotency.OpenTestLog(disk, segmentBytes)
	driver.log = log
	return err
}

// promoteHeld counts refused claims that the log holds as granted while the disk works: the
// log then reports them to others, so they must be durable like any other.
func (driver *logDriver) promoteHeld() {
	if driver.log.DiskFailed() {
		return
	}
	for key, at := range driver.refused {
		if _, found := driver.log.Get(key); found {
			driver.granted[key] = at
		}
	}
	clear(driver.refused)
}

// claimNext claims a new key and returns false if the log returned an error.
func (driver *logDriver) claimNext() bool {
	driver.lastKey++
	key := message.ClaimKey{Tenant: "birch", Service: "desk", Key: fmt.Sprint(driver.lastKey)}
	record := message.ClaimRecord{
		Key:   key,
		ID:    fmt.Sprint(driver.lastKey),
		Stage: message.ClaimRunning,
		Body:  make([]byte, 200+driver.random.IntN(800)),
	}
	response, err := driver.log.Record(&message.RecordClaimsRequest{Claims: []message.ClaimRequest{{Record: record}}})
	if err == nil && response[0].Granted {
		driver.granted[key] = time.Now()
	} else {
		driver.refused[key] = time.Now()
	}
	return err == nil
}

// findLost returns a granted, unexpired key that the log lacks, or "".
func (driver *logDriver) findLost() string {
	for key, at := range driver.granted {
		if time.Since(at) >= idempotency.DefaultTTL {
			delete(driver.granted, key)
		} else if _, found := driver.log.Get(key); !found {
			return key.Key
		}
	}
	return ""
}

// Guards against a log that cannot be opened, or lacks granted and unexpired claims, after
// the process died at any disk call, with or without power loss, while expired segments
// were removed.
func TestClaimsSurvivePowerLossDuringSegmentRemoval(test *testing.T) {
	for seed := range uint64(150) {
		synctest.Test(test, func(test *testing.T) {
			random := rand.New(rand.NewPCG(seed, 5))
			disk := simulation.NewDisk(seed)
			driver := &logDriver{random: random, granted: map[message.ClaimKey]time.Time{}, refused: map[message.ClaimKey]time.Time{}}
			for round := range 12 {
				if err := driver.open(disk); err != nil {
					names, _ := disk.List()
					test.Fatalf("seed %d round %d: open: %v, files %v", seed, round, err, names)
				}
				if lost := driver.findLost(); lost != "" {
					test.Fatalf("seed %d round %d: granted claim %s is lost", seed, round, lost)
				}
				driver.promoteHeld()
				disk.FailAfter(1 + random.IntN(150))
				for driver.claimNext() {
					time.Sleep(time.Duration(random.IntN(40)) * time.Second)
					if random.IntN(30) == 0 {
						time.Sleep(idempotency.DefaultTTL)
					}
				}
				disk = disk.Detach(random.IntN(4) > 0)
			}
		})
	}
}

// Guards against claims granted while the disk fails, a log that does not recover by
// itself afterwards, and claims lost that were granted before or after the failure.
func TestLogRecoversAfterDiskErrors(test *testing.T) {
	for seed := range uint64(150) {
		synctest.Test(test, func(test *testing.T) {
			random := rand.New(rand.NewPCG(seed, 6))
			disk := simulation.NewDisk(seed)
			driver := &logDriver{random: random, granted: map[message.ClaimKey]time.Time{}, refused: map[message.ClaimKey]time.Time{}}
			for round := range 10 {
				if err := driver.open(disk); err != nil {
					test.Fatalf("seed %d round %d: open: %v", seed, round, err)
				}
				if lost := driver.findLost(); lost != "" {
					test.Fatalf("seed %d round %d: granted claim %s is lost", seed, round, lost)
				}
				driver.promoteHeld()
				for range random.IntN(9) {
					driver.claimNext()
				}
				if random.IntN(3) == 0 {
					disk = disk.Detach(true)
					continue
				}
				disk.SetFaults(
					[]simulation.DiskFaults{{Writes: true}, {Syncs: true}, {Writes: true, Syncs: true, Names: true}}[random.IntN(3)],
				)
				for range 1 + random.IntN(10) {
					if driver.claimNext() {
						test.Fatalf("seed %d round %d: claim granted while the disk fails", seed, round)
					}
					time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
				}
				if !driver.log.DiskFailed() {
					test.Fatalf("seed %d round %d: log does not report the disk error", seed, round)
				}
				if random.IntN(3) > 0 {
					disk.SetFaults(simulation.DiskFaults{})
					time.Sleep(time.Second)
					for range 1 + random.IntN(5) {
						if !driver.claimNext() {
							test.Fatalf("seed %d round %d: claim refused after the disk recovered", seed, round)
						}
						driver.promoteHeld()
					}
				}
				disk = disk.Detach(random.IntN(3) > 0)
				disk.SetFaults(simulation.DiskFaults{})
			}
		})
	}
}
