package storage

import (
	"fmt"
	"slices"
	"strings"

	"orchidjunction/rpc"
)

// draftSuffix is the end of the name of a file that is not complete yet.
const draftSuffix = ".new"

// FileName returns the name of the numbered file of a kind.
func FileName(kind string, number uint64) string { return fmt.Sprintf("%s-%016d", kind, number) }

// FileNumbers returns the numbers of the files of a kind in order.
func FileNumbers(disk Disk, kind string) ([]uint64, error) {
	names, err := disk.List()
	if err != nil {
		return nil, diskError(rpc.DiskFailure, err, "list")
	}
	numbers := []uint64{}
	for _, name := range names {
		var number uint64
		if _, err := fmt.Sscanf(name, kind+"-%d", &number); err == nil && name == FileName(kind, number) {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}

// replaceFile puts a file with this content under the name. Once it returns without an
// error the file is durable; until then the former file is. The caller closes the file.
func replaceFile(disk Disk, name string, body []byte) (File, error) {
	draft := name + draftSuffix
	file, err := disk.Create(draft)
	if err != nil {
		return nil, err
	}
	_, err = file.Write(body)
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = disk.Rename(draft, name)
	}
	if err == nil {
		err = disk.Sync()
	}
	if err != nil {
		_ = file.Close()       // err says more
		_ = disk.Remove(draft) // overwritten when its name is used again
		return nil, err
	}
	return file, nil
}

// RemoveDrafts removes the drafts that a crash left. One that can't be removed is
// overwritten when its name is used again.
func RemoveDrafts(disk Disk) error {
	names, err := disk.List()
	if err != nil {
		return diskError(rpc.DiskFailure, err, "list")
	}
	for _, name := range names {
		if strings.HasSuffix(name, draftSuffix) {
			_ = disk.Remove(name) // overwritten when its name is used again
		}
	}
	return nil
}

// RemoveBefore removes the files of a kind with lower numbers, the lowest first, and
// calls removed after each.
func RemoveBefore(disk Disk, kind string, below uint64, removed func() error) error {
	numbers, err := FileNumbers(disk, kind)
	if err != nil {
		return err
	}
	for _, number := range numbers {
		if number >= below {
			break
		}
		err := disk.Remove(FileName(kind, number))
		if err == nil {
			err = removed()
		}
		if err != nil {
			return diskError(rpc.DiskFailure, err, "remove %s", FileName(kind, number))
		}
	}
	return nil
}

// ReadSnapshot decodes the snapshot in a numbered file into value. It returns
// CorruptStore if the file's checksum is wrong.
func ReadSnapshot(disk Disk, kind string, number uint64, value any) error {
	name := FileName(kind, number)
	body, err := disk.Read(name)
	if err != nil {
		return diskError(rpc.DiskFailure, err, "read %s", name)
	}
	payload, valid := frame(body).payload()
	if !valid {
		return rpc.Errorf(rpc.CorruptStore, "%s fails its checksum", name)
	}
	if err := rpc.Unmarshal(payload, value); err != nil {
		return diskError(rpc.CorruptStore, err, "%s", name)
	}
	return nil
}

// WriteSnapshot writes a snapshot into a numbered file. It is durable once WriteSnapshot
// returns without an error.
func WriteSnapshot(disk Disk, kind string, number uint64, value any) error {
	body, err := EncodeFrame(value)
	if err != nil {
		return err
	}
	name := FileName(kind, number)
	file, err := replaceFile(disk, name, body)
	if err != nil {
		return diskError(rpc.DiskFailure, err, "snapshot %s", name)
	}
	_ = file.Close() // its content is synced
	return nil
}
