package control

import (
	"fmt"
	"io"
	"orchidjunction/rpc"
	"sort"
	"strings"

	"github.com/samber/oops"
)

const (
	segmentLimit = 4 << 20
	draftSuffix  = ".new"
)

// Journal is a log in segments of one name. A block that was appended without a
// mishap lasts. A torn tail of the last segment is cut; a damaged frame before a
// sound one is refused.
//
// After a write, a sync or a change of names failed, nobody knows what of it is on
// the disk, and a later sync may succeed without covering it. The journal takes
// nothing more until its owner has written elsewhere what it needs: by beginning a
// new segment, or by rewriting the last one.
type Journal struct {
	disk   Disk
	name   string
	number uint64
	size   int64
	limit  int64
	file   File
	err    error
}

func diskError(kind rpc.Code, err error, format string, values ...any) error {
	wrapped := oops.Code(string(kind)).In("store").Wrapf(err, format, values...)
	return rpc.Errorf(kind, "%v", wrapped)
}

func fileName(name string, number uint64) string { return fmt.Sprintf("%s-%016d", name, number) }

// fileNumbers lists the files of one name in order.
func fileNumbers(disk Disk, name string) ([]uint64, error) {
	names, err := disk.List()
	if err != nil {
		return nil, diskError(rpc.DiskFailure, err, "list")
	}
	found := []uint64{}
	for _, file := range names {
		var number uint64
		if _, err := fmt.Sscanf(file, name+"-%d", &number); err == nil && file == fileName(name, number) {
			found = append(found, number)
		}
	}
	sort.Slice(found, func(left, right int) bool { return found[left] < found[right] })
	return found, nil
}

// OpenJournal lays every frame from the first segment on; segments before it are
// passed over. It only reads: the journal takes blocks once its owner has begun a
// segment or rewritten the last one. The last one is not extended as it was found,
// since a failed sync of the former process may have left frames that can be read
// and are not on the disk.
func OpenJournal(disk Disk, name string, first uint64, lay func(segment uint64, payload []byte) error) (*Journal, error) {
	journal := &Journal{disk: disk, name: name, number: first, limit: segmentLimit}
	segments, err := fileNumbers(disk, name)
	if err != nil {
		return nil, err
	}
	for len(segments) > 0 && segments[0] < first {
		segments = segments[1:]
	}
	for index, number := range segments {
		if number != first+uint64(index) {
			return nil, rpc.Errorf(rpc.CorruptStore, "%s is missing", fileName(name, first+uint64(index)))
		}
		if err := journal.loadSegment(number, index == len(segments)-1, lay); err != nil {
			return nil, err
		}
		journal.number = number
	}
	return journal, nil
}

func (journal *Journal) loadSegment(number uint64, last bool, lay func(segment uint64, payload []byte) error) error {
	name := fileName(journal.name, number)
	body, err := journal.disk.Read(name)
	if err != nil {
		return diskError(rpc.DiskFailure, err, "read %s", name)
	}
	rest, taken := Frame(body), int64(0)
	for len(rest) > 0 {
		payload, sound := rest.payload()
		if !sound {
			if !last || rest.validFrameFollows() {
				return rpc.Errorf(rpc.CorruptStore, "%s fails its checksum at byte %d", name, taken)
			}
			break
		}
		if err := lay(number, payload); err != nil {
			return rpc.Errorf(rpc.CorruptStore, "%s at byte %d: %v", name, taken, err)
		}
		rest = rest[frameHeader+len(payload):]
		taken += int64(frameHeader + len(payload))
	}
	journal.size = taken
	return nil
}

// Begin makes an empty segment the last one. Its name lasts before it is used.
func (journal *Journal) Begin(number uint64) error {
	name := fileName(journal.name, number)
	file, err := journal.disk.Create(name)
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = journal.disk.Sync()
	}
	return journal.use(file, number, 0, err)
}

// Rewrite puts a new file with the sound content in the last segment's place.
func (journal *Journal) Rewrite() error {
	if journal.size == 0 {
		return journal.Begin(journal.number)
	}
	name := fileName(journal.name, journal.number)
	body, err := journal.disk.Read(name)
	if err == nil && int64(len(body)) < journal.size {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return journal.use(nil, journal.number, journal.size, err)
	}
	file, err := replaceFile(journal.disk, name, body[:journal.size])
	return journal.use(file, journal.number, journal.size, err)
}

// use goes on with a file, or with none after a fault.
func (journal *Journal) use(file File, number uint64, size int64, err error) error {
	if err != nil {
		if file != nil {
			_ = file.Close() // its sync or its naming failed already
		}
		journal.err = diskError(rpc.DiskFailure, err, "begin %s", fileName(journal.name, number))
		return journal.err
	}
	journal.Close()
	journal.file, journal.number, journal.size, journal.err = file, number, size, nil
	return nil
}

// replaceFile puts a file with this content under the name; it lasts, and until
// then what was there before does. The caller closes the file.
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
		_ = file.Close()       // fault says more
		_ = disk.Remove(draft) // overwritten when its name is used again
		return nil, err
	}
	return file, nil
}

// Full is whether a block should go into the next segment.
func (journal *Journal) Full(block []byte) bool {
	return journal.size > 0 && journal.size+int64(len(block)) > journal.limit
}

// Append lasts once it returns without a mishap; after one the journal takes
// nothing more.
func (journal *Journal) Append(block []byte) error {
	if journal.err != nil {
		return journal.err
	}
	name := fileName(journal.name, journal.number)
	if _, err := journal.file.Write(block); err != nil {
		journal.err = diskError(rpc.DiskFailure, err, "write %s", name)
		return journal.err
	}
	if err := journal.file.Sync(); err != nil {
		journal.err = diskError(rpc.DiskFailure, err, "sync %s", name)
		return journal.err
	}
	journal.size += int64(len(block))
	return nil
}

// RemoveBefore removes files of a name below a number, oldest first.
func RemoveBefore(disk Disk, name string, below uint64, removed func() error) error {
	found, err := fileNumbers(disk, name)
	if err != nil {
		return err
	}
	for _, number := range found {
		if number >= below {
			break
		}
		err := disk.Remove(fileName(name, number))
		if err == nil {
			err = removed()
		}
		if err != nil {
			return diskError(rpc.DiskFailure, err, "remove %s", fileName(name, number))
		}
	}
	return nil
}

func (journal *Journal) Close() {
	if journal.file != nil {
		_ = journal.file.Close() // all that was answered is synced
	}
}

// EncodeFrame is one frame of a value.
func EncodeFrame(value any) ([]byte, error) {
	payload, err := rpc.Marshal(value)
	if err != nil {
		return nil, rpc.AsError(err)
	}
	return newFrame(payload), nil
}

// RemoveDrafts removes drafts that a crash left. One that stays is overwritten when
// its name is used again.
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
