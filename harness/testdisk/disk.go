// Package testdisk is a storage.Disk in memory that keeps exactly what was synced, and
// that is cheap to copy. Tests and models use it; package simulation has a disk that is as
// unkind as a real one.
package testdisk

import (
	"errors"
	"maps"
	"slices"

	"orchidjunction/storage"
)

var errPowerLost = errors.New("power lost")

// Disk keeps bytes by a sync of their file and names by a sync of the folder. It is not
// safe for concurrent use.
type Disk struct {
	// Failing makes syncs fail, as a loss of power before them would.
	Failing bool
	// Lying makes a sync return before anything is durable: a seeded bug.
	Lying bool

	inodes  []inode
	names   map[string]int
	durable map[string]int
}

type inode struct {
	body   []byte
	synced int
}

// New returns an empty disk.
func New() *Disk {
	return &Disk{names: map[string]int{}, durable: map[string]int{}}
}

// Clone returns a disk with the same content. It shares the bytes until one of the two
// disks changes them.
func (disk *Disk) Clone() *Disk {
	clone := &Disk{names: maps.Clone(disk.names), durable: maps.Clone(disk.durable), Failing: disk.Failing, Lying: disk.Lying}
	clone.inodes = slices.Clone(disk.inodes)
	for index := range disk.inodes {
		disk.inodes[index].body = slices.Clip(disk.inodes[index].body)
		clone.inodes[index].body = disk.inodes[index].body
	}
	return clone
}

// FileOf returns the file on this disk that stands for one of the disk it was cloned from.
func (disk *Disk) FileOf(file storage.File) storage.File {
	return &openFile{disk: disk, inode: file.(*openFile).inode}
}

// LosePower drops what was not synced, but for the first bytes of torn writes, and stops
// failing.
func (disk *Disk) LosePower(tornBytes int) {
	disk.names = maps.Clone(disk.durable)
	for index := range disk.inodes {
		inode := &disk.inodes[index]
		inode.body = slices.Clone(inode.body[:min(inode.synced+tornBytes, len(inode.body))])
		inode.synced = len(inode.body)
	}
	disk.Failing = false
}

// List returns the names of all files in order.
func (disk *Disk) List() ([]string, error) {
	return slices.Sorted(maps.Keys(disk.names)), nil
}

// Read returns a file's content.
func (disk *Disk) Read(name string) ([]byte, error) {
	return slices.Clone(disk.inodes[disk.names[name]].body), nil
}

// Create opens an empty file for writing.
func (disk *Disk) Create(name string) (storage.File, error) {
	disk.inodes = append(disk.inodes, inode{})
	disk.names[name] = len(disk.inodes) - 1
	return &openFile{disk: disk, inode: disk.names[name]}, nil
}

// Rename gives a file another name.
func (disk *Disk) Rename(before, after string) error {
	disk.names[after] = disk.names[before]
	delete(disk.names, before)
	return nil
}

// Remove removes a file.
func (disk *Disk) Remove(name string) error {
	delete(disk.names, name)
	return nil
}

// Sync makes the names durable.
func (disk *Disk) Sync() error {
	if disk.Failing {
		return errPowerLost
	}
	if !disk.Lying {
		disk.durable = maps.Clone(disk.names)
	}
	return nil
}

type openFile struct {
	disk  *Disk
	inode int
}

func (file *openFile) Write(body []byte) (int, error) {
	inode := &file.disk.inodes[file.inode]
	inode.body = append(inode.body, body...)
	return len(body), nil
}

func (file *openFile) Sync() error {
	if file.disk.Failing {
		return errPowerLost
	}
	if !file.disk.Lying {
		inode := &file.disk.inodes[file.inode]
		inode.synced = len(inode.body)
	}
	return nil
}

func (file *openFile) Close() error { return nil }
