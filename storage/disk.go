// Package storage stores data on disk so that it survives a power loss. A Disk is one
// folder, a Journal a log in segments, and a snapshot a file with a checksum that
// replaces the segments before it.
//
// Data is durable only after a sync of its file. A created, renamed or removed name is
// durable only after a sync of its folder.
package storage

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"github.com/samber/oops"

	"orchidjunction/rpc"
)

// File is a segment or snapshot that is open for writing.
type File interface {
	io.WriteCloser
	Sync() error
}

// Disk is a folder of files.
type Disk interface {
	List() ([]string, error)
	Read(name string) ([]byte, error)
	Create(name string) (File, error)
	Rename(oldName, newName string) error
	Remove(name string) error
	// Sync makes the file names in the folder durable.
	Sync() error
}

// Folder is a Disk on the local file system. Its value is the path of the folder.
type Folder string

func (folder Folder) path(name string) string { return filepath.Join(string(folder), name) }

// List returns the names of all entries.
func (folder Folder) List() ([]string, error) {
	entries, err := os.ReadDir(string(folder))
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

// Read returns the content of a file.
func (folder Folder) Read(name string) ([]byte, error) { return os.ReadFile(folder.path(name)) }

// Create opens an empty file for writing. It truncates an existing file of that name.
func (folder Folder) Create(name string) (File, error) {
	return os.OpenFile(folder.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Rename renames a file. It replaces an existing file of the new name.
func (folder Folder) Rename(oldName, newName string) error {
	return os.Rename(folder.path(oldName), folder.path(newName))
}

// Remove deletes a file.
func (folder Folder) Remove(name string) error { return os.Remove(folder.path(name)) }

// Sync makes the file names in the folder durable.
func (folder Folder) Sync() error {
	directory, err := os.Open(string(folder))
	if err != nil {
		return err
	}
	err = directory.Sync()
	return errors.Join(err, directory.Close())
}

// diskError wraps err in an rpc.Error with a code and a message that starts with the
// text.
func diskError(code rpc.Code, err error, format string, values ...any) error {
	wrapped := oops.Code(string(code)).In("store").Wrapf(err, format, values...)
	return rpc.Errorf(code, "%w", wrapped)
}
