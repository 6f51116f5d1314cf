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

const smallSegment = 6000

// claimKeeper drives a claim log and remembers what was granted, and when.
type claimKeeper struct {
	claims  *idempotency.TestLog
	random  *rand.Rand
	granted map[message.ClaimKey]time.Time
	refused map[message.ClaimKey]time.Time
	number  int
}

func (keeper *claimKeeper) open(disk *simulation.Disk) error {
	claims, err := idempotency.OpenTestLog(disk, smallSegment)
	keeper.claims = claims
	return err
}

// relied notes that the log would tell others of claims that it refused: once the
// disk takes groups, those that it holds must last like any other.
func (keeper *claimKeeper) relied() {
	if keeper.claims.Refuses() {
		return
	}
	for key, at := range keeper.refused {
		if _, found := keeper.claims.Held(key); found {
			keeper.granted[key] = at
		}
	}
	clear(keeper.refused)
}

// step claims one key; false when it was refused.
func (keeper *claimKeeper) step() bool {
	keeper.number++
	key := message.ClaimKey{Tenant: "birch", Service: "desk", Key: fmt.Sprint(keeper.number)}
	claimed := message.ClaimRecord{
		Key:   key,
		ID:    fmt.Sprint(keeper.number),
		Stage: message.ClaimRunning,
		Body:  make([]byte, 200+keeper.random.IntN(800)),
	}
	response, err := keeper.claims.Keep(&message.RecordClaimsRequest{Claims: []message.ClaimRequest{{Record: claimed}}})
	if err == nil && response[0].Granted {
		keeper.granted[key] = time.Now()
	} else {
		keeper.refused[key] = time.Now()
	}
	return err == nil
}

// lost names a key that was granted, is not yet to be forgotten, and is not held.
func (keeper *claimKeeper) lost() string {
	for key, at := range keeper.granted {
		if time.Since(at) >= idempotency.DefaultTTL {
			delete(keeper.granted, key)
		} else if _, found := keeper.claims.Held(key); !found {
			return key.Key
		}
	}
	return ""
}

// The process ends at any call to the disk and the power goes, or stays and goes
// later, while segments with forgotten keys are removed: the log opens, and what
// was granted and is not forgotten is held.
func TestClaimsLastFileByFile(test *testing.T) {
	for seed := range uint64(150) {
		synctest.Test(test, func(test *testing.T) {
			random := rand.New(rand.NewPCG(seed, 5))
			disk := simulation.NewDisk(seed)
			keeper := &claimKeeper{random: random, granted: map[message.ClaimKey]time.Time{}, refused: map[message.ClaimKey]time.Time{}}
			for round := range 12 {
				if err := keeper.open(disk); err != nil {
					names, _ := disk.List()
					test.Fatalf("seed %d round %d: %v, files %v", seed, round, err, names)
				}
				if lost := keeper.lost(); lost != "" {
					test.Fatalf("seed %d round %d: %s was granted and is lost", seed, round, lost)
				}
				keeper.relied()
				disk.DieAfter(1 + random.IntN(150))
				for keeper.step() {
					time.Sleep(time.Duration(random.IntN(40)) * time.Second)
					if random.IntN(30) == 0 {
						time.Sleep(idempotency.DefaultTTL)
					}
				}
				disk = disk.Sever(random.IntN(4) > 0)
			}
		})
	}
}

// A disk that refuses for a while grants nothing meanwhile; then the log goes on by
// itself, and what was granted before and after lasts.
func TestClaimsRefusedGoOn(test *testing.T) {
	for seed := range uint64(150) {
		synctest.Test(test, func(test *testing.T) {
			random := rand.New(rand.NewPCG(seed, 6))
			disk := simulation.NewDisk(seed)
			keeper := &claimKeeper{random: random, granted: map[message.ClaimKey]time.Time{}, refused: map[message.ClaimKey]time.Time{}}
			for round := range 10 {
				if err := keeper.open(disk); err != nil {
					test.Fatalf("seed %d round %d: %v", seed, round, err)
				}
				if lost := keeper.lost(); lost != "" {
					test.Fatalf("seed %d round %d: %s was granted and is lost", seed, round, lost)
				}
				keeper.relied()
				for range random.IntN(9) {
					keeper.step()
				}
				if random.IntN(3) == 0 {
					disk = disk.Sever(true)
					continue
				}
				disk.Refuse([]simulation.Refusal{{Writes: true}, {Syncs: true}, {Writes: true, Syncs: true, Names: true}}[random.IntN(3)])
				for range 1 + random.IntN(10) {
					if keeper.step() {
						test.Fatalf("seed %d round %d: kept by a disk that refuses", seed, round)
					}
					time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
				}
				if !keeper.claims.Refuses() {
					test.Fatalf("seed %d round %d: not told that the disk refuses", seed, round)
				}
				if random.IntN(3) > 0 {
					disk.Refuse(simulation.Refusal{})
					time.Sleep(time.Second)
					for range 1 + random.IntN(5) {
						if !keeper.step() {
							test.Fatalf("seed %d round %d: does not go on", seed, round)
						}
						keeper.relied()
					}
				}
				disk = disk.Sever(random.IntN(3) > 0)
				disk.Refuse(simulation.Refusal{})
			}
		})
	}
}
