package storage

// CloneFor returns a copy of the journal that uses another disk and appends to the given file
// there. Model checks use it to fork a simulated machine.
func (journal *Journal) CloneFor(disk Disk, file File) *Journal {
	clone := *journal
	clone.disk, clone.file = disk, file
	return &clone
}

// LastSegment returns the file of the last segment, which frames are appended to.
func (journal *Journal) LastSegment() File { return journal.file }
