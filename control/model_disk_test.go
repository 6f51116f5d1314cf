package control

import (
	"errors"
	"maps"
	"orchidjunction/storage"
	"slices"
)

var errModelPower = errors.New("power lost")

// modelDisk keeps exactly what was synced: bytes by a sync of their file, names by a
// sync of the folder. It is cheap to copy.
type modelDisk struct {
	inodes  []modelInode
	names   map[string]int
	lasting map[string]int
	// failing makes the next sync fail, as a loss of power before it would.
	failing bool
	// lying makes a sync return before anything lasts: a seeded bug.
	lying bool
}

type modelInode struct {
	body   []byte
	synced int
}

func newModelDisk() *modelDisk {
	return &modelDisk{names: map[string]int{}, lasting: map[string]int{}}
}

func (disk *modelDisk) clone() *modelDisk {
	next := &modelDisk{names: maps.Clone(disk.names), lasting: maps.Clone(disk.lasting), failing: disk.failing, lying: disk.lying}
	next.inodes = slices.Clone(disk.inodes)
	for index := range disk.inodes {
		disk.inodes[index].body = slices.Clip(disk.inodes[index].body)
		next.inodes[index].body = disk.inodes[index].body
	}
	return next
}

// losePower drops what was not synced, but for the first bytes of a torn write.
func (disk *modelDisk) losePower(torn int) {
	disk.names = maps.Clone(disk.lasting)
	for index := range disk.inodes {
		inode := &disk.inodes[index]
		inode.body = slices.Clone(inode.body[:min(inode.synced+torn, len(inode.body))])
		inode.synced = len(inode.body)
	}
	disk.failing = false
}

func (disk *modelDisk) List() ([]string, error) {
	return slices.Sorted(maps.Keys(disk.names)), nil
}

func (disk *modelDisk) Read(name string) ([]byte, error) {
	return slices.Clone(disk.inodes[disk.names[name]].body), nil
}

func (disk *modelDisk) Create(name string) (storage.File, error) {
	disk.inodes = append(disk.inodes, modelInode{})
	disk.names[name] = len(disk.inodes) - 1
	return &modelFile{disk: disk, inode: disk.names[name]}, nil
}

func (disk *modelDisk) Extend(name string, size int64) (storage.File, error) {
	inode := &disk.inodes[disk.names[name]]
	inode.body = slices.Clone(inode.body[:size])
	inode.synced = len(inode.body)
	return &modelFile{disk: disk, inode: disk.names[name]}, nil
}

func (disk *modelDisk) Rename(before, after string) error {
	disk.names[after] = disk.names[before]
	delete(disk.names, before)
	return nil
}

func (disk *modelDisk) Remove(name string) error {
	delete(disk.names, name)
	return nil
}

func (disk *modelDisk) Sync() error {
	if disk.failing {
		return errModelPower
	}
	if !disk.lying {
		disk.lasting = maps.Clone(disk.names)
	}
	return nil
}

type modelFile struct {
	disk  *modelDisk
	inode int
}

func (file *modelFile) Write(body []byte) (int, error) {
	inode := &file.disk.inodes[file.inode]
	inode.body = append(inode.body, body...)
	return len(body), nil
}

func (file *modelFile) Sync() error {
	if file.disk.failing {
		return errModelPower
	}
	if !file.disk.lying {
		inode := &file.disk.inodes[file.inode]
		inode.synced = len(inode.body)
	}
	return nil
}

func (file *modelFile) Close() error { return nil }
