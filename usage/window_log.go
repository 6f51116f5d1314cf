package usage

import (
	"orchidjunction/message"
	"orchidjunction/rpc"
	"orchidjunction/storage"
)

const (
	snapshotKind = "counts"
	segmentKind  = "usage"
	// segmentFactor is how many times larger than its snapshot a segment may grow, and
	// minSegmentBytes is the size that any may have.
	segmentFactor   = 4
	minSegmentBytes = 256 << 10
)

// WindowLog keeps counts of windows on a disk, so that those that no process knows any more
// are reported after a loss of power. A snapshot holds all counts at its time, the segment
// of its number what was counted since. Counts only rise, so the order and the number of
// times in which they are read do not matter.
//
// It is not safe for concurrent use.
type WindowLog struct {
	disk     storage.Disk
	windows  *Windows
	number   uint64           // of the newest snapshot that may be on the disk
	journal  *storage.Journal // nil until the segment of the newest snapshot is begun
	appended uint64           // changes of the windows that are on the disk
	size     int64            // of the segment
	limit    int64            // of the segment
}

// OpenWindowLog adds the counts on a disk to windows. What cannot be read is left behind:
// usage of a few windows is no reason for a core not to start. The error says why; the log
// can be used all the same.
func OpenWindowLog(disk storage.Disk, windows *Windows) (*WindowLog, error) {
	log := &WindowLog{disk: disk, windows: windows}
	snapshots, err := storage.FileNumbers(disk, snapshotKind)
	if err != nil || len(snapshots) == 0 {
		return log, err
	}
	log.number = snapshots[len(snapshots)-1]
	copies := []message.ProcessCounts{}
	if err := storage.ReadSnapshot(disk, snapshotKind, log.number, &copies); err != nil {
		return log, err
	}
	windows.AddCopies(copies)
	_, err = storage.OpenJournal(disk, segmentKind, log.number, func(_ uint64, payload []byte) error {
		added := []message.ProcessCounts{}
		if err := rpc.Unmarshal(payload, &added); err != nil {
			return err
		}
		windows.AddCopies(added)
		return nil
	})
	return log, err
}

// Append makes durable what was counted since the last call. After an error the next call
// writes everything anew.
func (log *WindowLog) Append() error {
	if log.journal == nil || log.journal.Err() != nil || log.size > log.limit {
		return log.begin()
	}
	copies, changes := log.windows.ChangedSince(log.appended)
	if len(copies) == 0 {
		return nil
	}
	frame, err := storage.EncodeFrame(copies)
	if err != nil {
		return err
	}
	if err := log.journal.Append(frame); err != nil {
		return err
	}
	log.appended = changes
	log.size += int64(len(frame))
	return nil
}

// begin writes all counts into a new snapshot, begins its segment, and removes the files
// before them.
func (log *WindowLog) begin() error {
	copies, changes := log.windows.ChangedSince(0)
	frame, err := storage.EncodeFrame(copies)
	if err != nil {
		return err
	}
	log.Close()
	log.journal = nil
	log.number++
	if err := storage.WriteSnapshot(log.disk, snapshotKind, log.number, copies); err != nil {
		return err
	}
	journal, err := storage.OpenJournal(log.disk, segmentKind, log.number, nil)
	if err != nil {
		return err
	}
	if err := journal.Begin(log.number); err != nil {
		return err
	}
	log.journal, log.appended = journal, changes
	log.size, log.limit = 0, max(minSegmentBytes, segmentFactor*int64(len(frame)))
	return log.removeFormer()
}

// removeFormer removes the files that the newest snapshot replaces.
func (log *WindowLog) removeFormer() error {
	noSync := func() error { return nil }
	if err := storage.RemoveBefore(log.disk, snapshotKind, log.number, noSync); err != nil {
		return err
	}
	return storage.RemoveBefore(log.disk, segmentKind, log.number, noSync)
}

// Close closes the log.
func (log *WindowLog) Close() {
	if log.journal != nil {
		log.journal.Close()
	}
}
