// Package simulation runs whole deployments in virtual time: cores, proxies, directories,
// callers and backends are the product's own code over a simulated network (net.go),
// disk (disk.go) and clock. A seed decides when machines lose power, links are cut and
// messages are late, so that every run can be repeated. Package checker judges what
// callers, backends and operators saw.
package simulation

import (
	"errors"
	"maps"
	"math/rand/v2"
	"sort"
	"sync"

	"orchidjunction/storage"
)

// sectorSize is what a torn write keeps or loses as one.
const sectorSize = 512

// Refusal names the calls that a disk refuses.
type Refusal struct {
	Writes bool
	Syncs  bool
	Names  bool // creating, renaming, removing
}

// Disk is a folder whose power may go. A file keeps what its last sync covered;
// each later write is present, missing or torn. Each name that was made, renamed
// or removed since the folder's last sync is kept or lost by itself.
type Disk struct {
	mutex   sync.Mutex
	wake    *sync.Cond
	random  *rand.Rand
	files   map[string]*blob
	lasting map[string]*blob
	stalled bool
	dead    bool
	calls   int
	refuses Refusal
	room    int
	most    int
}

var (
	errGone   = errors.New("no such file")
	errFaulty = errors.New("disk fault")
	errFull   = errors.New("no space left")
)

// NewDisk returns an empty disk whose losses are drawn by seed.
func NewDisk(seed uint64) *Disk {
	disk := &Disk{random: rand.New(rand.NewPCG(seed, 11)), files: map[string]*blob{}, lasting: map[string]*blob{}}
	disk.wake = sync.NewCond(&disk.mutex)
	return disk
}

// PowerLoss leaves what lasts, and of the rest what the draws leave; at one loss
// in four all that was not synced is gone.
func (disk *Disk) PowerLoss() {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	nothing := disk.random.IntN(4) == 0
	left := map[string]*blob{}
	for _, name := range disk.names() {
		kept := disk.lasting[name]
		if kept != disk.files[name] && !nothing && disk.random.IntN(2) == 0 {
			kept = disk.files[name]
		}
		if kept == nil {
			continue
		}
		if nothing {
			left[name] = newBlob(kept.synced())
		} else {
			left[name] = newBlob(kept.torn(disk.random))
		}
	}
	disk.files, disk.lasting = left, map[string]*blob{}
	maps.Copy(disk.lasting, left)
	disk.stalled = false
	disk.wake.Broadcast()
}

// names are all that stand in the folder now or at its last sync.
func (disk *Disk) names() []string {
	names := []string{}
	for name := range disk.files {
		names = append(names, name)
	}
	for name := range disk.lasting {
		if disk.files[name] == nil {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Sever takes the disk from a killed process: what that still writes is lost,
// and the next process gets the rest, after a power loss only what lasted.
func (disk *Disk) Sever(power bool) *Disk {
	if power {
		disk.PowerLoss()
	}
	next := disk.Fork()
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	disk.dead, disk.stalled = true, false
	disk.wake.Broadcast()
	return next
}

// Fork is a second disk with the same content and no troubles.
func (disk *Disk) Fork() *Disk {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	next := NewDisk(disk.random.Uint64())
	next.most = disk.most
	copies := map[*blob]*blob{}
	copied := func(held *blob) *blob {
		if copies[held] == nil {
			copies[held] = held.copied()
		}
		return copies[held]
	}
	for name, held := range disk.files {
		next.files[name] = copied(held)
	}
	for name, held := range disk.lasting {
		next.lasting[name] = copied(held)
	}
	return next
}

// Copy is the least that a power loss now would leave, for judging.
func (disk *Disk) Copy() *Disk {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	copied := NewDisk(1)
	for name, held := range disk.lasting {
		copied.files[name] = newBlob(held.synced())
	}
	return copied
}

// Stall makes every sync wait until told otherwise.
func (disk *Disk) Stall(stalled bool) {
	disk.mutex.Lock()
	disk.stalled = stalled
	disk.wake.Broadcast()
	disk.mutex.Unlock()
}

// Fail makes the disk refuse all but reads.
func (disk *Disk) Fail(failing bool) {
	disk.Refuse(Refusal{Writes: failing, Syncs: failing, Names: failing})
}

// Refuse makes the disk refuse some calls until told otherwise.
func (disk *Disk) Refuse(refusal Refusal) {
	disk.mutex.Lock()
	disk.refuses = refusal
	disk.mutex.Unlock()
}

// DieAfter ends all but reading after so many more calls that change something,
// as if the process had been killed there.
func (disk *Disk) DieAfter(calls int) {
	disk.mutex.Lock()
	disk.calls = calls
	disk.mutex.Unlock()
}

// called counts a call that changes something, and is whether the disk still lives.
func (disk *Disk) called() bool {
	if disk.calls > 0 {
		disk.calls--
		disk.dead = disk.dead || disk.calls == 0
	}
	return !disk.dead
}

// Room bounds the bytes of all files; 0 is no bound.
func (disk *Disk) Room(bytes int) {
	disk.mutex.Lock()
	disk.room = bytes
	disk.mutex.Unlock()
}

// Used is the bytes of all files.
func (disk *Disk) Used() int {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	return disk.used()
}

// MostUsed is the most bytes that all files had at once.
func (disk *Disk) MostUsed() int {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	return disk.most
}

func (disk *Disk) used() int {
	sum := 0
	for _, held := range disk.files {
		sum += len(held.body)
	}
	return sum
}

// Harm flips one bit of a file, as worn media do.
func (disk *Disk) Harm(name string, at int) {
	disk.mutex.Lock()
	disk.files[name].body[at] ^= 0x10
	disk.mutex.Unlock()
}

// Cut leaves only the first bytes of a file.
func (disk *Disk) Cut(name string, size int) {
	disk.mutex.Lock()
	disk.files[name].truncate(size)
	disk.mutex.Unlock()
}

// Size is a file's length in bytes, with what is not synced yet.
func (disk *Disk) Size(name string) int {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	return len(disk.files[name].body)
}

// List returns the names of the files in sorted order, as storage.Disk says.
func (disk *Disk) List() ([]string, error) {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	names := []string{}
	for name := range disk.files {
		names = append(names, name)
	}
	sort.Strings(names)
	return names, nil
}

// Read returns a copy of a file, with what is not synced yet.
func (disk *Disk) Read(name string) ([]byte, error) {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	if disk.files[name] == nil {
		return nil, errGone
	}
	return append([]byte{}, disk.files[name].body...), nil
}

// changeNames is whether the folder takes a change of its names.
func (disk *Disk) changeNames() error {
	if !disk.called() || disk.refuses.Names {
		return errFaulty
	}
	return nil
}

// Create opens an empty file, as storage.Disk says.
func (disk *Disk) Create(name string) (storage.File, error) {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	if err := disk.changeNames(); err != nil {
		return nil, err
	}
	disk.files[name] = newBlob(nil)
	return &file{disk: disk, blob: disk.files[name]}, nil
}

// Rename gives a file another name, as storage.Disk says; it lasts once the folder is
// synced.
func (disk *Disk) Rename(before, after string) error {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	if err := disk.changeNames(); err != nil {
		return err
	}
	if disk.files[before] == nil {
		return errGone
	}
	disk.files[after] = disk.files[before]
	delete(disk.files, before)
	return nil
}

// Remove deletes a file, as storage.Disk says; it lasts once the folder is synced.
func (disk *Disk) Remove(name string) error {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	if err := disk.changeNames(); err != nil {
		return err
	}
	delete(disk.files, name)
	return nil
}

// Sync makes the folder's names last.
func (disk *Disk) Sync() error {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	if err := disk.answers(); err != nil {
		return err
	}
	disk.lasting = map[string]*blob{}
	maps.Copy(disk.lasting, disk.files)
	return nil
}

// answers waits while the disk is stalled, and is whether it then syncs.
func (disk *Disk) answers() error {
	for disk.stalled {
		disk.wake.Wait()
	}
	if !disk.called() || disk.refuses.Syncs {
		return errFaulty
	}
	return nil
}

// sync is one file's; what a failed one left behind, no later one covers.
func (disk *Disk) sync(held *blob) error {
	err := disk.answers()
	if err == nil {
		held.sync()
	} else if !disk.dead {
		held.drop()
	}
	return err
}

type file struct {
	disk *Disk
	blob *blob
}

// Write takes as much as there is room for.
func (file *file) Write(body []byte) (int, error) {
	disk := file.disk
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	if !disk.called() || disk.refuses.Writes {
		return 0, errFaulty
	}
	taken := body
	if disk.room > 0 {
		taken = body[:max(0, min(len(body), disk.room-disk.used()))]
	}
	file.blob.write(taken)
	disk.most = max(disk.most, disk.used())
	if len(taken) < len(body) {
		return len(taken), errFull
	}
	return len(body), nil
}

func (file *file) Sync() error {
	file.disk.mutex.Lock()
	defer file.disk.mutex.Unlock()
	return file.disk.sync(file.blob)
}

func (file *file) Close() error { return nil }
