// Package sim brings about, in virtual time and by seed, what fails.
package sim

import (
	"errors"
	"math/rand/v2"
	"sort"
	"sync"

	"orchidjunction/control"
)

// Disk keeps only what was synced once the power goes.
type Disk struct {
	mutex   sync.Mutex
	wake    *sync.Cond
	random  *rand.Rand
	files   map[string]*blob
	lasting map[string]*blob
	stalled bool
	failing bool
}

type blob struct {
	body   []byte
	synced int
}

var (
	errGone   = errors.New("no such file")
	errFaulty = errors.New("disk fault")
)

func NewDisk(seed uint64) *Disk {
	disk := &Disk{random: rand.New(rand.NewPCG(seed, 11)), files: map[string]*blob{}, lasting: map[string]*blob{}}
	disk.wake = sync.NewCond(&disk.mutex)
	return disk
}

// PowerLoss drops what was not synced; of the last write a part may stay.
func (disk *Disk) PowerLoss() {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	disk.files = map[string]*blob{}
	for name, kept := range disk.lasting {
		length := kept.synced
		if tail := len(kept.body) - kept.synced; tail > 0 {
			length += disk.random.IntN(tail + 1)
		}
		body := append([]byte{}, kept.body[:length]...)
		if length > kept.synced && disk.random.IntN(2) == 0 {
			for index := kept.synced + disk.random.IntN(length-kept.synced); index < length; index++ {
				body[index] = 0
			}
		}
		fresh := &blob{body: body, synced: len(body)}
		disk.files[name], disk.lasting[name] = fresh, fresh
	}
	disk.stalled = false
	disk.wake.Broadcast()
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
	disk.failing, disk.stalled = true, false
	disk.wake.Broadcast()
	return next
}

// Fork is a second disk with the same content.
func (disk *Disk) Fork() *Disk {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	next := NewDisk(disk.random.Uint64())
	for name, held := range disk.files {
		kept := &blob{body: append([]byte{}, held.body...), synced: held.synced}
		next.files[name] = kept
		if disk.lasting[name] != nil {
			next.lasting[name] = kept
		}
	}
	return next
}

// Copy is what a power loss now would leave, for judging.
func (disk *Disk) Copy() *Disk {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	copied := NewDisk(1)
	for name, held := range disk.lasting {
		copied.files[name] = &blob{body: append([]byte{}, held.body[:held.synced]...), synced: held.synced}
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

func (disk *Disk) Fail(failing bool) {
	disk.mutex.Lock()
	disk.failing = failing
	disk.mutex.Unlock()
}

// Harm flips one bit of a file, as worn media do.
func (disk *Disk) Harm(name string, at int) {
	disk.mutex.Lock()
	disk.files[name].body[at] ^= 0x10
	disk.mutex.Unlock()
}

func (disk *Disk) Size(name string) int {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	return len(disk.files[name].body)
}

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

func (disk *Disk) Read(name string) ([]byte, error) {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	if disk.files[name] == nil {
		return nil, errGone
	}
	return append([]byte{}, disk.files[name].body...), nil
}

func (disk *Disk) Create(name string) (control.File, error) {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	disk.files[name] = &blob{}
	return &file{disk: disk, blob: disk.files[name]}, nil
}

func (disk *Disk) Extend(name string, size int64) (control.File, error) {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	held := disk.files[name]
	if held == nil {
		return nil, errGone
	}
	held.body = held.body[:size]
	held.synced = len(held.body)
	return &file{disk: disk, blob: held}, nil
}

func (disk *Disk) Rename(before, after string) error {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	if disk.files[before] == nil {
		return errGone
	}
	disk.files[after] = disk.files[before]
	delete(disk.files, before)
	return nil
}

func (disk *Disk) Remove(name string) error {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	delete(disk.files, name)
	return nil
}

// Sync makes the folder's names last.
func (disk *Disk) Sync() error {
	disk.mutex.Lock()
	defer disk.mutex.Unlock()
	for disk.stalled {
		disk.wake.Wait()
	}
	if disk.failing {
		return errFaulty
	}
	disk.lasting = map[string]*blob{}
	for name, held := range disk.files {
		disk.lasting[name] = held
	}
	return nil
}

type file struct {
	disk *Disk
	blob *blob
}

func (file *file) Write(body []byte) (int, error) {
	file.disk.mutex.Lock()
	defer file.disk.mutex.Unlock()
	if file.disk.failing {
		return 0, errFaulty
	}
	file.blob.body = append(file.blob.body, body...)
	return len(body), nil
}

func (file *file) Sync() error {
	file.disk.mutex.Lock()
	defer file.disk.mutex.Unlock()
	for file.disk.stalled {
		file.disk.wake.Wait()
	}
	if file.disk.failing {
		return errFaulty
	}
	file.blob.synced = len(file.blob.body)
	return nil
}

func (file *file) Close() error { return nil }

// Cut leaves only the first bytes of a file.
func (disk *Disk) Cut(name string, size int) {
	disk.mutex.Lock()
	disk.files[name].body = disk.files[name].body[:size]
	disk.mutex.Unlock()
}
