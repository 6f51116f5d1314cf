// Package simulation runs complete deployments in virtual time: production cores, proxies and
// directories, and stand-ins for callers and backends. The network (net.go), the disk (disk.go)
// and the clock are simulated. A seed determines power losses, cut links and message delays, so
// that every run is repeatable. Package checker checks what callers, backends and operators
// observed.
package simulation

import (
	"errors"
	"maps"
	"math/rand/v2"
	"sort"
	"sync"

	"orchidjunction/storage"
)

// sectorSize is the number of bytes that a torn write keeps or loses as a unit.
const sectorSize = 512

// DiskFaults selects the kinds of calls that a disk fails.
type DiskFaults struct {
	Writes bool
	Syncs  bool
	Names  bool // create, rename, remove
}

// Disk is a directory that can lose power. A file keeps the writes up to its last sync;
// each later write is present, missing or torn. Each name that was created, renamed or
// removed since the directory's last sync is kept or lost independently.
type Disk struct {
	mutex     sync.Mutex
	wake      *sync.Cond
	random    *rand.Rand
	files     map[string]*fileContent
	durable   map[string]*fileContent
	stalled   bool
	dead      bool
	callsLeft int
	refusal   DiskFaults
	capacity  int
	peakUsed  int
}

var (
	errNotFound = errors.New("no such file")
	errFaulty   = errors.New("disk fault")
	errFull     = errors.New("no space left")
)

// NewDisk returns an empty disk. The seed determines what a power loss destroys.
func NewDisk(seed uint64) *Disk {
	disk := &Disk{random: rand.New(rand.NewPCG(seed, 11)), files: map[string]*fileContent{}, durable: map[string]*fileContent{}}
	disk.wake = sync.NewCond(&disk.mutex)
	return disk
}

// PowerLoss keeps durable data and a random part of the rest. One loss in four destroys
// everything that was not synced.
func (disk *Disk) PowerLoss() {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	onlySynced := disk.random.IntN(4) == 0
	left := map[string]*fileContent{}
	for _, name := range disk.names() {
		survivor := disk.durable[name]
		if survivor != disk.files[name] && !onlySynced && disk.random.IntN(2) == 0 {
			survivor = disk.files[name]
		}
		if survivor == nil {
			continue
		}
		if onlySynced {
			left[name] = newFileContent(survivor.durablePrefix())
		} else {
			left[name] = newFileContent(survivor.afterPowerLoss(disk.random))
		}
	}
	disk.files, disk.durable = left, map[string]*fileContent{}
	maps.Copy(disk.durable, left)
	disk.stalled = false
	disk.wake.Broadcast()
}

// names returns the names in the directory now and those at its last sync.
func (disk *Disk) names() []string {
	names := []string{}
	for name := range disk.files {
		names = append(names, name)
	}
	for name := range disk.durable {
		if disk.files[name] == nil {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Detach detaches the disk from a killed process, whose further changes fail, and returns a
// disk with its content for the next process. With powerLoss, PowerLoss comes first.
func (disk *Disk) Detach(powerLoss bool) *Disk {
	if powerLoss {
		disk.PowerLoss()
	}
	next := disk.Clone()
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	disk.dead, disk.stalled = true, false
	disk.wake.Broadcast()
	return next
}

// Clone returns a second disk with the same content and no faults.
func (disk *Disk) Clone() *Disk {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	next := NewDisk(disk.random.Uint64())
	next.peakUsed = disk.peakUsed
	copies := map[*fileContent]*fileContent{}
	clone := func(content *fileContent) *fileContent {
		if copies[content] == nil {
			copies[content] = content.clone()
		}
		return copies[content]
	}
	for name, content := range disk.files {
		next.files[name] = clone(content)
	}
	for name, content := range disk.durable {
		next.durable[name] = clone(content)
	}
	return next
}

// Copy returns a disk with only the durable data, the least that a power loss now would
// leave.
func (disk *Disk) Copy() *Disk {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	minimum := NewDisk(1)
	for name, content := range disk.durable {
		minimum.files[name] = newFileContent(content.durablePrefix())
	}
	return minimum
}

// Stall blocks every sync until it is called with false.
func (disk *Disk) Stall(stalled bool) {
	disk.mutex.Lock()
	disk.stalled = stalled
	disk.wake.Broadcast()
	disk.mutex.Unlock()
}

// Fail makes all calls except reads fail.
func (disk *Disk) Fail(failing bool) {
	disk.SetFaults(DiskFaults{Writes: failing, Syncs: failing, Names: failing})
}

// SetFaults makes the selected kinds of calls fail until it is called again.
func (disk *Disk) SetFaults(refusal DiskFaults) {
	disk.mutex.Lock()
	disk.refusal = refusal
	disk.mutex.Unlock()
}

// FailAfter counts calls that change the disk: the last of the given number and all later ones
// fail, as if the process had been killed there.
func (disk *Disk) FailAfter(calls int) {
	disk.mutex.Lock()
	disk.callsLeft = calls
	disk.mutex.Unlock()
}

// countCall counts a call that changes the disk and reports whether the disk is still usable.
func (disk *Disk) countCall() bool {
	if disk.callsLeft > 0 {
		disk.callsLeft--
		disk.dead = disk.dead || disk.callsLeft == 0
	}
	return !disk.dead
}

// SetCapacity limits the total size of all files in bytes; 0 means no limit.
func (disk *Disk) SetCapacity(bytes int) {
	disk.mutex.Lock()
	disk.capacity = bytes
	disk.mutex.Unlock()
}

// Used returns the total size of all files in bytes.
func (disk *Disk) Used() int {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	return disk.used()
}

// PeakUsed returns the peak total size of all files in bytes.
func (disk *Disk) PeakUsed() int {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	return disk.peakUsed
}

func (disk *Disk) used() int {
	sum := 0
	for _, content := range disk.files {
		sum += len(content.body)
	}
	return sum
}

// FlipBit flips one bit of a file, as media corruption does.
func (disk *Disk) FlipBit(name string, at int) {
	disk.mutex.Lock()
	disk.files[name].body[at] ^= 0x10
	disk.mutex.Unlock()
}

// Truncate truncates a file to its first size bytes.
func (disk *Disk) Truncate(name string, size int) {
	disk.mutex.Lock()
	disk.files[name].truncate(size)
	disk.mutex.Unlock()
}

// Size returns a file's length in bytes, including unsynced writes.
func (disk *Disk) Size(name string) int {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	return len(disk.files[name].body)
}

// List implements storage.Disk.
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

// Read returns a copy of a file, including unsynced writes.
func (disk *Disk) Read(name string) ([]byte, error) {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	if disk.files[name] == nil {
		return nil, errNotFound
	}
	return append([]byte{}, disk.files[name].body...), nil
}

// beginNameChange returns an error if creating, renaming or removing a file must fail.
func (disk *Disk) beginNameChange() error {
	if !disk.countCall() || disk.refusal.Names {
		return errFaulty
	}
	return nil
}

// Create implements storage.Disk.
func (disk *Disk) Create(name string) (storage.File, error) {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	if err := disk.beginNameChange(); err != nil {
		return nil, err
	}
	disk.files[name] = newFileContent(nil)
	return &file{disk: disk, content: disk.files[name]}, nil
}

// Rename implements storage.Disk; it is durable once the directory is synced.
func (disk *Disk) Rename(before, after string) error {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	if err := disk.beginNameChange(); err != nil {
		return err
	}
	if disk.files[before] == nil {
		return errNotFound
	}
	disk.files[after] = disk.files[before]
	delete(disk.files, before)
	return nil
}

// Remove implements storage.Disk; it is durable once the directory is synced.
func (disk *Disk) Remove(name string) error {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	if err := disk.beginNameChange(); err != nil {
		return err
	}
	delete(disk.files, name)
	return nil
}

// Sync makes the directory's present names durable.
func (disk *Disk) Sync() error {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	if err := disk.beginSync(); err != nil {
		return err
	}
	disk.durable = map[string]*fileContent{}
	maps.Copy(disk.durable, disk.files)
	return nil
}

// beginSync waits while the disk is stalled and returns an error if the sync must fail.
func (disk *Disk) beginSync() error {
	for disk.stalled {
		disk.wake.Wait()
	}
	if !disk.countCall() || disk.refusal.Syncs {
		return errFaulty
	}
	return nil
}

// sync syncs one file. Writes that a failed sync should have covered are not covered by
// later syncs either.
func (disk *Disk) sync(content *fileContent) error {
	err := disk.beginSync()
	if err == nil {
		content.sync()
	} else if !disk.dead {
		content.drop()
	}
	return err
}

type file struct {
	disk    *Disk
	content *fileContent
}

// Write writes as many bytes as the disk has room for.
func (file *file) Write(body []byte) (int, error) {
	disk := file.disk
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	if !disk.countCall() || disk.refusal.Writes {
		return 0, errFaulty
	}
	accepted := body
	if disk.capacity > 0 {
		accepted = body[:max(0, min(len(body), disk.capacity-disk.used()))]
	}
	file.content.write(accepted)
	disk.peakUsed = max(disk.peakUsed, disk.used())
	if len(accepted) < len(body) {
		return len(accepted), errFull
	}
	return len(body), nil
}

func (file *file) Sync() error {
	file.disk.mutex.Lock()
	defer file.disk.mutex.Unlock()
	return file.disk.sync(file.content)
}

func (file *file) Close() error { return nil }
