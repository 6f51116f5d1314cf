package storage

import (
	"fmt"
	"slices"
	"strings"

	"orchidjunction/rpc"
)

// tempSuffix marks the name of a file that is not complete yet.
const tempSuffix = ".new"

// FileName returns the name of the file with a kind and a number.
func FileName(kind string, number uint64) string { return fmt.Sprintf("%s-%016d", kind, number) }

// FileNumbers returns the numbers of the files of a kind in ascending order.
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

// replaceFile atomically creates or replaces a file and returns it open for writing. The
// file is durable once replaceFile returns without an error.
func replaceFile(disk Disk, name string, body []byte) (File, error) {
	tempName := name + tempSuffix
	file, err := disk.Create(tempName)
	if err != nil {
		return nil, err
	}
	_, err = file.Write(body)
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = disk.Rename(tempName, name)
	}
	if err == nil {
		err = disk.Sync()
	}
	if err != nil {
		_ = file.Close()          // err is the first error
		_ = disk.Remove(tempName) // if this fails, the next file of that name overwrites it
		return nil, err
	}
	return file, nil
}

// RemoveTempFiles removes the temporary files that a crash left behind.
func RemoveTempFiles(disk Disk) error {
	names, err := disk.List()
	if err != nil {
		return diskError(rpc.DiskFailure, err, "list")
	}
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) {
			_ = disk.Remove(name) // if this fails, the next file of that name overwrites it
		}
	}
	return nil
}

// RemoveBefore removes the files of a kind with numbers below a given one, in ascending
// order, and calls afterEach after each removal.
func RemoveBefore(disk Disk, kind string, below uint64, afterEach func() error) error {
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
			err = afterEach()
		}
		if err != nil {
			return diskError(rpc.DiskFailure, err, "remove %s", FileName(kind, number))
		}
	}
	return nil
}

// ReadSnapshot decodes the snapshot in a numbered file into value. It returns
// CorruptStore if the checksum is wrong or the content can't be decoded.
func ReadSnapshot(disk Disk, kind string, number uint64, value any) error {
	name := FileName(kind, number)
	body, err := disk.Read(name)
	if err != nil {
		return diskError(rpc.DiskFailure, err, "read %s", name)
	}
	payload, valid := frame(body).payload()
	if !valid {
		return rpc.Errorf(rpc.CorruptStore, "%s has an invalid checksum", name)
	}
	if err := rpc.Unmarshal(payload, value); err != nil {
		return diskError(rpc.CorruptStore, err, "decode %s", name)
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
		return diskError(rpc.DiskFailure, err, "write %s", name)
	}
	_ = file.Close() // its content is already synced
	return nil
}
