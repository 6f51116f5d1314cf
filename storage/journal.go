package storage

import (
	"io"

	"orchidjunction/rpc"
)

// defaultSegmentBytes is the default size above which the next segment is due.
const defaultSegmentBytes = 4 << 20

// Replay is called with each payload of a journal, in order. It returns an error if the
// payload can't be decoded.
type Replay func(segment uint64, payload []byte) error

// Journal is a log in segments, which are numbered files of one kind. A frame is durable
// once Append returns without an error. A torn write at the end of the last segment is
// ignored; an invalid frame anywhere else is an error.
//
// After a write, a sync or a change of names failed, it is unknown what has reached the
// disk, and a later sync may succeed without covering it. The journal then rejects all
// frames until its owner has written what it needs elsewhere, by starting a new segment or
// by rewriting the last one.
//
// A Journal is not safe for concurrent use.
type Journal struct {
	disk   Disk
	kind   string
	number uint64
	size   int64
	limit  int64
	file   File
	err    error
}

// OpenJournal replays all frames from segment first on and ignores the segments before
// it. It only reads: the owner calls Begin or Rewrite before it appends. The last segment
// can't be extended as it is, since a failed sync of the previous process may have left
// frames that can be read but are not durable.
func OpenJournal(disk Disk, kind string, first uint64, replay Replay) (*Journal, error) {
	journal := &Journal{disk: disk, kind: kind, number: first, limit: defaultSegmentBytes}
	segments, err := FileNumbers(disk, kind)
	if err != nil {
		return nil, err
	}
	for len(segments) > 0 && segments[0] < first {
		segments = segments[1:]
	}
	for index, number := range segments {
		if number != first+uint64(index) {
			return nil, rpc.Errorf(rpc.CorruptStore, "%s is missing", FileName(kind, first+uint64(index)))
		}
		if err := journal.replaySegment(number, index == len(segments)-1, replay); err != nil {
			return nil, err
		}
		journal.number = number
	}
	return journal, nil
}

func (journal *Journal) replaySegment(number uint64, isLast bool, replay Replay) error {
	name := FileName(journal.kind, number)
	body, err := journal.disk.Read(name)
	if err != nil {
		return diskError(rpc.DiskFailure, err, "read %s", name)
	}
	offset := 0
	for offset < len(body) {
		rest := frame(body[offset:])
		payload, valid := rest.payload()
		if !valid && (!isLast || rest.validFrameFollows()) {
			return rpc.Errorf(rpc.CorruptStore, "%s has an invalid checksum at byte %d", name, offset)
		}
		if !valid {
			break
		}
		if err := replay(number, payload); err != nil {
			return rpc.Errorf(rpc.CorruptStore, "decode %s at byte %d: %w", name, offset, err)
		}
		offset += frameHeaderBytes + len(payload)
	}
	journal.size = int64(offset)
	return nil
}

// Number returns the number of the last segment.
func (journal *Journal) Number() uint64 { return journal.number }

// Err returns the error that keeps the journal from accepting frames, or nil.
func (journal *Journal) Err() error { return journal.err }

// Fail makes the journal reject frames with err until Begin or Rewrite succeeds. It returns
// err.
func (journal *Journal) Fail(err error) error {
	journal.err = err
	return err
}

// LimitSegments sets the size in bytes above which the next segment is due.
func (journal *Journal) LimitSegments(bytes int64) { journal.limit = bytes }

// Full reports whether a frame needs the next segment. An empty segment has room for any frame.
func (journal *Journal) Full(frame []byte) bool {
	return journal.size > 0 && journal.size+int64(len(frame)) > journal.limit
}

// Begin starts an empty segment with the given number. Its name is durable once Begin
// returns without an error.
func (journal *Journal) Begin(number uint64) error {
	file, err := journal.disk.Create(FileName(journal.kind, number))
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = journal.disk.Sync()
	}
	return journal.switchTo(file, number, 0, err)
}

// Rewrite replaces the last segment by a new file with its valid frames.
func (journal *Journal) Rewrite() error {
	if journal.size == 0 {
		return journal.Begin(journal.number)
	}
	name := FileName(journal.kind, journal.number)
	body, err := journal.disk.Read(name)
	if err == nil && int64(len(body)) < journal.size {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return journal.switchTo(nil, journal.number, journal.size, err)
	}
	file, err := replaceFile(journal.disk, name, body[:journal.size])
	return journal.switchTo(file, journal.number, journal.size, err)
}

// switchTo makes a file the last segment or, after an error, fails the journal.
func (journal *Journal) switchTo(file File, number uint64, size int64, err error) error {
	if err != nil {
		if file != nil {
			_ = file.Close() // err is the first error
		}
		return journal.Fail(diskError(rpc.DiskFailure, err, "start %s", FileName(journal.kind, number)))
	}
	journal.Close()
	journal.file, journal.number, journal.size, journal.err = file, number, size, nil
	return nil
}

// Append writes and syncs a frame. After an error the journal rejects all frames.
func (journal *Journal) Append(frame []byte) error {
	if journal.err != nil {
		return journal.err
	}
	name := FileName(journal.kind, journal.number)
	if _, err := journal.file.Write(frame); err != nil {
		return journal.Fail(diskError(rpc.DiskFailure, err, "write %s", name))
	}
	if err := journal.file.Sync(); err != nil {
		return journal.Fail(diskError(rpc.DiskFailure, err, "sync %s", name))
	}
	journal.size += int64(len(frame))
	return nil
}

// Close closes the last segment. All appended frames are already durable.
func (journal *Journal) Close() {
	if journal.file != nil {
		_ = journal.file.Close() // its content is already synced
	}
}
