package control

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"orchidjunction/wire"

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
	fault  error
}

func storeFault(kind wire.Kind, fault error, format string, values ...any) error {
	wrapped := oops.Code(string(kind)).In("store").Wrapf(fault, format, values...)
	return wire.New(kind, "%v", wrapped)
}

func numbered(name string, number uint64) string { return fmt.Sprintf("%s-%016d", name, number) }

// numbers lists the files of one name in order.
func numbers(disk Disk, name string) ([]uint64, error) {
	names, fault := disk.List()
	if fault != nil {
		return nil, storeFault(wire.DiskFault, fault, "list")
	}
	found := []uint64{}
	for _, file := range names {
		var number uint64
		if _, fault := fmt.Sscanf(file, name+"-%d", &number); fault == nil && file == numbered(name, number) {
			found = append(found, number)
		}
	}
	sort.Slice(found, func(left, right int) bool { return found[left] < found[right] })
	return found, nil
}

// loadJournal lays every frame from the first segment on; segments before it are
// passed over. It only reads: the journal takes blocks once its owner has begun a
// segment or rewritten the last one. The last one is not extended as it was found,
// since a failed sync of the former process may have left frames that can be read
// and are not on the disk.
func loadJournal(disk Disk, name string, first uint64, lay func(segment uint64, payload []byte) error) (*Journal, error) {
	journal := &Journal{disk: disk, name: name, number: first, limit: segmentLimit}
	segments, mishap := numbers(disk, name)
	if mishap != nil {
		return nil, mishap
	}
	for len(segments) > 0 && segments[0] < first {
		segments = segments[1:]
	}
	for index, number := range segments {
		if number != first+uint64(index) {
			return nil, wire.New(wire.Corrupt, "%s is missing", numbered(name, first+uint64(index)))
		}
		if mishap := journal.load(number, index == len(segments)-1, lay); mishap != nil {
			return nil, mishap
		}
		journal.number = number
	}
	return journal, nil
}

func (journal *Journal) load(number uint64, last bool, lay func(segment uint64, payload []byte) error) error {
	name := numbered(journal.name, number)
	body, fault := journal.disk.Read(name)
	if fault != nil {
		return storeFault(wire.DiskFault, fault, "read %s", name)
	}
	rest, taken := Frame(body), int64(0)
	for len(rest) > 0 {
		payload, sound := rest.payload()
		if !sound {
			if !last || rest.soundAfter() {
				return wire.New(wire.Corrupt, "%s fails its checksum at byte %d", name, taken)
			}
			break
		}
		if mishap := lay(number, payload); mishap != nil {
			return wire.New(wire.Corrupt, "%s at byte %d: %v", name, taken, mishap)
		}
		rest = rest[frameHeader+len(payload):]
		taken += int64(frameHeader + len(payload))
	}
	journal.size = taken
	return nil
}

// begin makes an empty segment the last one. Its name lasts before it is used.
func (journal *Journal) begin(number uint64) error {
	name := numbered(journal.name, number)
	file, fault := journal.disk.Create(name)
	if fault == nil {
		fault = file.Sync()
	}
	if fault == nil {
		fault = journal.disk.Sync()
	}
	return journal.take(file, number, 0, fault)
}

// rewrite puts a new file with the sound content in the last segment's place.
func (journal *Journal) rewrite() error {
	if journal.size == 0 {
		return journal.begin(journal.number)
	}
	name := numbered(journal.name, journal.number)
	body, fault := journal.disk.Read(name)
	if fault == nil && int64(len(body)) < journal.size {
		fault = io.ErrUnexpectedEOF
	}
	if fault != nil {
		return journal.take(nil, journal.number, journal.size, fault)
	}
	file, fault := replaceFile(journal.disk, name, body[:journal.size])
	return journal.take(file, journal.number, journal.size, fault)
}

// take goes on with a file, or with none after a fault.
func (journal *Journal) take(file File, number uint64, size int64, fault error) error {
	if fault != nil {
		if file != nil {
			_ = file.Close() // its sync or its naming failed already
		}
		journal.fault = storeFault(wire.DiskFault, fault, "begin %s", numbered(journal.name, number))
		return journal.fault
	}
	journal.Close()
	journal.file, journal.number, journal.size, journal.fault = file, number, size, nil
	return nil
}

// replaceFile puts a file with this content under the name; it lasts, and until
// then what was there before does. The caller closes the file.
func replaceFile(disk Disk, name string, body []byte) (File, error) {
	draft := name + draftSuffix
	file, fault := disk.Create(draft)
	if fault != nil {
		return nil, fault
	}
	_, fault = file.Write(body)
	if fault == nil {
		fault = file.Sync()
	}
	if fault == nil {
		fault = disk.Rename(draft, name)
	}
	if fault == nil {
		fault = disk.Sync()
	}
	if fault != nil {
		_ = file.Close()       // fault says more
		_ = disk.Remove(draft) // overwritten when its name is used again
		return nil, fault
	}
	return file, nil
}

// full is whether a block should go into the next segment.
func (journal *Journal) full(block []byte) bool {
	return journal.size > 0 && journal.size+int64(len(block)) > journal.limit
}

// Append lasts once it returns without a mishap; after one the journal takes
// nothing more.
func (journal *Journal) Append(block []byte) error {
	if journal.fault != nil {
		return journal.fault
	}
	name := numbered(journal.name, journal.number)
	if _, fault := journal.file.Write(block); fault != nil {
		journal.fault = storeFault(wire.DiskFault, fault, "write %s", name)
		return journal.fault
	}
	if fault := journal.file.Sync(); fault != nil {
		journal.fault = storeFault(wire.DiskFault, fault, "sync %s", name)
		return journal.fault
	}
	journal.size += int64(len(block))
	return nil
}

// sweep removes files of a name below a number, oldest first.
func sweep(disk Disk, name string, below uint64, removed func() error) error {
	found, mishap := numbers(disk, name)
	if mishap != nil {
		return mishap
	}
	for _, number := range found {
		if number >= below {
			break
		}
		fault := disk.Remove(numbered(name, number))
		if fault == nil {
			fault = removed()
		}
		if fault != nil {
			return storeFault(wire.DiskFault, fault, "remove %s", numbered(name, number))
		}
	}
	return nil
}

func (journal *Journal) Close() {
	if journal.file != nil {
		_ = journal.file.Close() // all that was answered is synced
	}
}

// packFrame is one frame of a value.
func packFrame(value any) ([]byte, error) {
	payload, fault := wire.Pack(value)
	if fault != nil {
		return nil, wire.AsMishap(fault)
	}
	return newFrame(payload), nil
}

// sweepDrafts removes drafts that a crash left. One that stays is overwritten when
// its name is used again.
func sweepDrafts(disk Disk) error {
	names, fault := disk.List()
	if fault != nil {
		return storeFault(wire.DiskFault, fault, "list")
	}
	for _, name := range names {
		if strings.HasSuffix(name, draftSuffix) {
			_ = disk.Remove(name) // overwritten when its name is used again
		}
	}
	return nil
}
