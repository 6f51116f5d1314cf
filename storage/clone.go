package storage

// CloneFor returns a copy of the journal that uses another disk and appends to file
// there. Model checks use it to fork a machine.
func (journal *Journal) CloneFor(disk Disk, file File) *Journal {
	clone := *journal
	clone.disk, clone.file = disk, file
	return &clone
}

// LastSegment returns the file that frames are appended to.
func (journal *Journal) LastSegment() File { return journal.file }
