package simulation

import "math/rand/v2"

// fileContent is the content of one file and its durability.
type fileContent struct {
	body   []byte
	ranges []writeRange
}

// writeRange is the range of a file that one write appended, up to the offset end.
type writeRange struct {
	end   int
	state writeState
}

type writeState int

const (
	unsynced writeState = iota
	durable
	dropped // its sync failed; later syncs do not cover it
)

// newFileContent returns content that is durable as a whole.
func newFileContent(body []byte) *fileContent {
	content := &fileContent{body: append([]byte{}, body...)}
	if len(body) > 0 {
		content.ranges = []writeRange{{end: len(body), state: durable}}
	}
	return content
}

func (content *fileContent) clone() *fileContent {
	return &fileContent{body: append([]byte{}, content.body...), ranges: append([]writeRange{}, content.ranges...)}
}

func (content *fileContent) write(body []byte) {
	if len(body) > 0 {
		content.body = append(content.body, body...)
		content.ranges = append(content.ranges, writeRange{end: len(content.body)})
	}
}

func (content *fileContent) truncate(size int) {
	content.body = content.body[:size]
	begin, kept := 0, []writeRange{}
	for _, written := range content.ranges {
		if begin >= size {
			break
		}
		begin = written.end
		written.end = min(written.end, size)
		kept = append(kept, written)
	}
	content.ranges = kept
}

func (content *fileContent) sync() { content.markUnsynced(durable) }
func (content *fileContent) drop() { content.markUnsynced(dropped) }

func (content *fileContent) markUnsynced(state writeState) {
	for index := range content.ranges {
		if content.ranges[index].state == unsynced {
			content.ranges[index].state = state
		}
	}
}

// durablePrefix returns the content up to the first write that may be lost.
func (content *fileContent) durablePrefix() []byte {
	size := 0
	for _, written := range content.ranges {
		if written.state != durable {
			break
		}
		size = written.end
	}
	return append([]byte{}, content.body[:size]...)
}

// afterPowerLoss returns the content with each non-durable write present, missing or torn.
func (content *fileContent) afterPowerLoss(random *rand.Rand) []byte {
	body, begin, size := append([]byte{}, content.body...), 0, 0
	for _, written := range content.ranges {
		affected := body[begin:written.end]
		begin = written.end
		switch {
		case written.state == durable || random.IntN(3) == 0:
			size = written.end
		case random.IntN(2) == 0:
			clear(affected)
		default:
			size = written.end - len(affected) + random.IntN(len(affected)+1)
			for at := 0; at < len(affected); at += sectorSize {
				if random.IntN(3) == 0 {
					clear(affected[at:min(len(affected), at+sectorSize)])
				}
			}
			clear(body[size:written.end])
		}
	}
	return body[:size]
}
