// Package control is the state that the core machines keep together.
package control

import (
	"errors"
	"io"
	"os"
	"path/filepath"
)

// File is one open segment or snapshot.
type File interface {
	io.WriteCloser
	Sync() error
}

// Disk is a data folder; only what was synced lasts.
type Disk interface {
	List() ([]string, error)
	Read(name string) ([]byte, error)
	Create(name string) (File, error)
	Rename(before, after string) error
	Remove(name string) error
	Sync() error
}

// Folder is a Disk on the machine's own file system.
type Folder string

func (folder Folder) path(name string) string { return filepath.Join(string(folder), name) }

func (folder Folder) List() ([]string, error) {
	entries, err := os.ReadDir(string(folder))
	if err != nil {
		return nil, err
	}
	names := []string{}
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

func (folder Folder) Read(name string) ([]byte, error) { return os.ReadFile(folder.path(name)) }

func (folder Folder) Create(name string) (File, error) {
	return os.OpenFile(folder.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

func (folder Folder) Rename(before, after string) error {
	return os.Rename(folder.path(before), folder.path(after))
}

func (folder Folder) Remove(name string) error { return os.Remove(folder.path(name)) }

func (folder Folder) Sync() error {
	handle, err := os.Open(string(folder))
	if err != nil {
		return err
	}
	err = handle.Sync()
	return errors.Join(err, handle.Close())
}
