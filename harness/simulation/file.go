package simulation

import "math/rand/v2"

// blob is the content of one file and what of it lasts.
type blob struct {
	body   []byte
	writes []write
}

// write is one stretch of a blob, up to its end.
type write struct {
	end   int
	state writeState
}

type writeState int

const (
	waiting writeState = iota // no sync has covered it yet
	lasting                   // a sync covered it
	dropped                   // a sync that failed was to cover it; no later one does
)

// newBlob is a blob all of whose content lasts.
func newBlob(body []byte) *blob {
	made := &blob{body: append([]byte{}, body...)}
	if len(body) > 0 {
		made.writes = []write{{end: len(body), state: lasting}}
	}
	return made
}

func (held *blob) copied() *blob {
	return &blob{body: append([]byte{}, held.body...), writes: append([]write{}, held.writes...)}
}

func (held *blob) write(body []byte) {
	if len(body) > 0 {
		held.body = append(held.body, body...)
		held.writes = append(held.writes, write{end: len(held.body)})
	}
}

func (held *blob) truncate(size int) {
	held.body = held.body[:size]
	begin, kept := 0, []write{}
	for _, one := range held.writes {
		if begin >= size {
			break
		}
		begin = one.end
		one.end = min(one.end, size)
		kept = append(kept, one)
	}
	held.writes = kept
}

func (held *blob) sync() { held.settle(lasting) }
func (held *blob) drop() { held.settle(dropped) }

func (held *blob) settle(state writeState) {
	for index := range held.writes {
		if held.writes[index].state == waiting {
			held.writes[index].state = state
		}
	}
}

// synced is the content up to the first write that may be lost.
func (held *blob) synced() []byte {
	size := 0
	for _, one := range held.writes {
		if one.state != lasting {
			break
		}
		size = one.end
	}
	return append([]byte{}, held.body[:size]...)
}

// torn is the content with each write that may be lost present, missing or torn.
func (held *blob) torn(random *rand.Rand) []byte {
	body, begin, length := append([]byte{}, held.body...), 0, 0
	for _, one := range held.writes {
		stretch := body[begin:one.end]
		begin = one.end
		switch {
		case one.state == lasting || random.IntN(3) == 0:
			length = one.end
		case random.IntN(2) == 0:
			clear(stretch)
		default:
			length = one.end - len(stretch) + random.IntN(len(stretch)+1)
			for at := 0; at < len(stretch); at += sectorSize {
				if random.IntN(3) == 0 {
					clear(stretch[at:min(len(stretch), at+sectorSize)])
				}
			}
			clear(body[length:one.end])
		}
	}
	return body[:length]
}
