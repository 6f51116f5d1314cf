package control

import (
	"fmt"
	"sort"
	"strings"

	"github.com/samber/oops"
	"orchidjunction/wire"
)

const segmentLimit = 4 << 20

// Journal is a log in segments of one name; what was appended lasts, a torn
// tail of the last segment is cut, a worn frame before a sound one is refused.
type Journal struct {
	disk   Disk
	name   string
	number uint64
	size   int64
	limit  int64
	file   File
	broken *wire.Mishap
}

func storeFault(kind wire.Kind, fault error, format string, values ...any) *wire.Mishap {
	wrapped := oops.Code(string(kind)).In("store").Wrapf(fault, format, values...)
	return wire.New(kind, "%v", wrapped)
}

func numbered(name string, number uint64) string { return fmt.Sprintf("%s-%016d", name, number) }

// numbers lists the files of one name in order.
func numbers(disk Disk, name string) ([]uint64, *wire.Mishap) {
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

// OpenJournal lays every frame from the first segment on; segments before it
// are passed over.
func OpenJournal(disk Disk, name string, first uint64, lay func(segment uint64, payload []byte) *wire.Mishap) (*Journal, *wire.Mishap) {
	journal := &Journal{disk: disk, name: name, limit: segmentLimit}
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
	}
	if len(segments) == 0 {
		return journal, journal.begin(first)
	}
	journal.number = segments[len(segments)-1]
	file, fault := disk.Extend(numbered(name, journal.number), journal.size)
	if fault == nil {
		fault = disk.Sync()
	}
	if fault != nil {
		return nil, storeFault(wire.DiskFault, fault, "extend %s", numbered(name, journal.number))
	}
	journal.file = file
	return journal, nil
}

func (journal *Journal) load(number uint64, last bool, lay func(segment uint64, payload []byte) *wire.Mishap) *wire.Mishap {
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

func (journal *Journal) begin(number uint64) *wire.Mishap {
	file, fault := journal.disk.Create(numbered(journal.name, number))
	if fault == nil {
		fault = file.Sync()
	}
	if fault == nil {
		fault = journal.disk.Sync()
	}
	if fault != nil {
		return storeFault(wire.DiskFault, fault, "begin %s", numbered(journal.name, number))
	}
	if journal.file != nil {
		journal.file.Close()
	}
	journal.file, journal.number, journal.size = file, number, 0
	return nil
}

// full is whether a block should go into the next segment.
func (journal *Journal) full(block []byte) bool {
	return journal.size > 0 && journal.size+int64(len(block)) > journal.limit
}

// Append lasts once it returns; after any fault the journal takes nothing more.
func (journal *Journal) Append(block []byte) *wire.Mishap {
	if journal.broken != nil {
		return journal.broken
	}
	name := numbered(journal.name, journal.number)
	if _, fault := journal.file.Write(block); fault != nil {
		journal.broken = storeFault(wire.DiskFault, fault, "write %s", name)
	} else if fault := journal.file.Sync(); fault != nil {
		journal.broken = storeFault(wire.DiskFault, fault, "sync %s", name)
	}
	journal.size += int64(len(block))
	return journal.broken
}

// sweep removes files of a name below a number, oldest first.
func sweep(disk Disk, name string, below uint64) *wire.Mishap {
	found, mishap := numbers(disk, name)
	if mishap != nil {
		return mishap
	}
	for _, number := range found {
		if number < below {
			if fault := disk.Remove(numbered(name, number)); fault != nil {
				return storeFault(wire.DiskFault, fault, "remove %s", numbered(name, number))
			}
		}
	}
	return nil
}

func (journal *Journal) Close() {
	if journal.file != nil {
		journal.file.Close()
	}
}

// packFrame is one frame of a value.
func packFrame(value any) ([]byte, *wire.Mishap) {
	payload, fault := wire.Pack(value)
	if fault != nil {
		return nil, wire.AsMishap(fault)
	}
	return newFrame(payload), nil
}

// sweepDrafts removes drafts that a crash left.
func sweepDrafts(disk Disk) *wire.Mishap {
	names, fault := disk.List()
	if fault != nil {
		return storeFault(wire.DiskFault, fault, "list")
	}
	for _, name := range names {
		if strings.HasSuffix(name, ".new") {
			if fault := disk.Remove(name); fault != nil {
				return storeFault(wire.DiskFault, fault, "remove %s", name)
			}
		}
	}
	return nil
}
