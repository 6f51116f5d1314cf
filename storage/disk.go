// Package storage keeps data on a machine's disk so that it survives the loss of power:
// a Disk is one folder, a Journal a log in segments, and a snapshot one file with a
// checksum that replaces the segments before it.
//
// Only what a sync covered counts as stored. A name that was created, renamed or removed
// is durable once its folder was synced.
package storage

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"github.com/samber/oops"

	"orchidjunction/rpc"
)

// File is a segment or snapshot that is being written.
type File interface {
	io.WriteCloser
	Sync() error
}

// Disk is a data folder.
type Disk interface {
	List() ([]string, error)
	Read(name string) ([]byte, error)
	Create(name string) (File, error)
	Rename(before, after string) error
	Remove(name string) error
	// Sync makes the names in the folder durable.
	Sync() error
}

// Folder is a Disk on the machine's own file system; its value is the folder's path.
type Folder string

func (folder Folder) path(name string) string { return filepath.Join(string(folder), name) }

// List returns the names of all files.
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

// Read returns a file's content.
func (folder Folder) Read(name string) ([]byte, error) { return os.ReadFile(folder.path(name)) }

// Create opens an empty file for writing, in place of one that has the name.
func (folder Folder) Create(name string) (File, error) {
	return os.OpenFile(folder.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Rename gives a file another name, in place of one that has it.
func (folder Folder) Rename(before, after string) error {
	return os.Rename(folder.path(before), folder.path(after))
}

// Remove removes a file.
func (folder Folder) Remove(name string) error { return os.Remove(folder.path(name)) }

// Sync makes the names in the folder durable.
func (folder Folder) Sync() error {
	handle, err := os.Open(string(folder))
	if err != nil {
		return err
	}
	err = handle.Sync()
	return errors.Join(err, handle.Close())
}

// diskError returns an rpc.Error with a code, whose message begins with the formatted
// text and whose cause is err.
func diskError(code rpc.Code, err error, format string, values ...any) error {
	wrapped := oops.Code(string(code)).In("store").Wrapf(err, format, values...)
	return rpc.Errorf(code, "%w", wrapped)
}
