// Package testdisk provides an in-memory storage.Disk for tests and models. It keeps exactly
// what was synced and is cheap to clone. Package simulation has a disk with the faults of a
// real one.
package testdisk

import (
	"errors"
	"maps"
	"slices"

	"orchidjunction/storage"
)

var errPowerLost = errors.New("power lost")

// Disk makes a file's content durable when the file is synced, and names when the disk is
// synced. It is not safe for concurrent use.
type Disk struct {
	// FailSyncs makes syncs fail, as if power were lost before them.
	FailSyncs bool
	// SkipSyncs makes syncs succeed without effect, to simulate a missing sync.
	SkipSyncs bool

	inodes       []inode
	inodeByName  map[string]int
	durableNames map[string]int
}

type inode struct {
	content     []byte
	syncedBytes int
}

// New returns an empty disk.
func New() *Disk {
	return &Disk{inodeByName: map[string]int{}, durableNames: map[string]int{}}
}

// Clone returns a disk with the same content. The two disks share the bytes until one of
// them changes them.
func (disk *Disk) Clone() *Disk {
	clone := &Disk{
		inodeByName:  maps.Clone(disk.inodeByName),
		durableNames: maps.Clone(disk.durableNames),
		FailSyncs:    disk.FailSyncs,
		SkipSyncs:    disk.SkipSyncs,
	}
	clone.inodes = slices.Clone(disk.inodes)
	for index := range disk.inodes {
		disk.inodes[index].content = slices.Clip(disk.inodes[index].content)
		clone.inodes[index].content = disk.inodes[index].content
	}
	return clone
}

// FileOf returns this disk's counterpart of an open file of the disk it was cloned from.
func (disk *Disk) FileOf(file storage.File) storage.File {
	return &openFile{disk: disk, inode: file.(*openFile).inode}
}

// LosePower drops unsynced data, except the first tornBytes of each file's, and clears FailSyncs.
func (disk *Disk) LosePower(tornBytes int) {
	disk.inodeByName = maps.Clone(disk.durableNames)
	for index := range disk.inodes {
		inode := &disk.inodes[index]
		inode.content = slices.Clone(inode.content[:min(inode.syncedBytes+tornBytes, len(inode.content))])
		inode.syncedBytes = len(inode.content)
	}
	disk.FailSyncs = false
}

// List returns the sorted names of all files.
func (disk *Disk) List() ([]string, error) {
	return slices.Sorted(maps.Keys(disk.inodeByName)), nil
}

// Read returns a file's content.
func (disk *Disk) Read(name string) ([]byte, error) {
	return slices.Clone(disk.inodes[disk.inodeByName[name]].content), nil
}

// Create opens an empty file for writing.
func (disk *Disk) Create(name string) (storage.File, error) {
	disk.inodes = append(disk.inodes, inode{})
	disk.inodeByName[name] = len(disk.inodes) - 1
	return &openFile{disk: disk, inode: disk.inodeByName[name]}, nil
}

// Rename renames a file, replacing any other.
func (disk *Disk) Rename(oldName, newName string) error {
	disk.inodeByName[newName] = disk.inodeByName[oldName]
	delete(disk.inodeByName, oldName)
	return nil
}

// Remove removes a file.
func (disk *Disk) Remove(name string) error {
	delete(disk.inodeByName, name)
	return nil
}

// Sync makes the names durable.
func (disk *Disk) Sync() error {
	if disk.FailSyncs {
		return errPowerLost
	}
	if !disk.SkipSyncs {
		disk.durableNames = maps.Clone(disk.inodeByName)
	}
	return nil
}

type openFile struct {
	disk  *Disk
	inode int
}

func (file *openFile) Write(data []byte) (int, error) {
	inode := &file.disk.inodes[file.inode]
	inode.content = append(inode.content, data...)
	return len(data), nil
}

func (file *openFile) Sync() error {
	if file.disk.FailSyncs {
		return errPowerLost
	}
	if !file.disk.SkipSyncs {
		inode := &file.disk.inodes[file.inode]
		inode.syncedBytes = len(inode.content)
	}
	return nil
}

func (file *openFile) Close() error { return nil }
