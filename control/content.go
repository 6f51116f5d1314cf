package control

import (
	"fmt"

	"orchidjunction/conf"
	"orchidjunction/wire"
)

const (
	trailGroup  = 16
	trailGroups = 32
	trailSign   = "trail/"
)

// content is what a settings value says: the tree and the trail of changes. Both
// travel and are kept in branches named by digest.
type content struct {
	serial uint64
	tree   *conf.Tree
	trail  []wire.Entry
	texts  wire.Texts
}

// next is the content after a change.
func (now *content) next(tree *conf.Tree, entry wire.Entry) *content {
	next := &content{serial: entry.Serial, tree: tree, texts: wire.Texts{}}
	oldest := uint64(0)
	if group := entry.Serial / trailGroup; group >= trailGroups {
		oldest = (group - trailGroups + 1) * trailGroup
	}
	for _, held := range now.trail {
		if held.Serial >= oldest {
			next.trail = append(next.trail, held)
		}
	}
	next.trail = append(next.trail, entry)
	return next
}

// value is the register's: which branches make the content up.
func (now *content) value() wire.Value {
	value := wire.Value{Serial: now.serial}
	groups := map[uint64][]wire.Entry{}
	order := []uint64{}
	for _, entry := range now.trail {
		group := entry.Serial / trailGroup
		if groups[group] == nil {
			order = append(order, group)
		}
		groups[group] = append(groups[group], entry)
	}
	if now.tree != nil {
		value.Parts = append(value.Parts, now.tree.Parts...)
		for _, part := range now.tree.Parts {
			now.texts[part.Digest] = now.tree.Text(part.Digest)
		}
	}
	for _, group := range order {
		text, _ := wire.Pack(groups[group])
		digest := wire.DigestOf(text)
		value.Parts = append(value.Parts, wire.Part{Path: fmt.Sprintf("%s%016d", trailSign, group), Digest: digest})
		now.texts[digest] = text
	}
	return value
}

// readContent makes the content of a value whose branches are among the texts;
// what the content before has is read no second time.
func readContent(before *content, value wire.Value, texts wire.Texts) (*content, error) {
	if value.Serial == 0 {
		return &content{}, nil
	}
	now := &content{serial: value.Serial, texts: make(wire.Texts, len(value.Parts))}
	for _, part := range value.Parts {
		text, found := texts[part.Digest]
		if !found {
			return nil, wire.New(wire.DamagedPart, "branch %s of serial %d is missing", part.Path, value.Serial)
		}
		now.texts[part.Digest] = text
		if len(part.Path) > len(trailSign) && part.Path[:len(trailSign)] == trailSign {
			entries := []wire.Entry{}
			if fault := wire.Unpack(text, &entries); fault != nil {
				return nil, wire.AsMishap(fault)
			}
			now.trail = append(now.trail, entries...)
		}
	}
	var former *conf.Tree
	if before != nil {
		former = before.tree
	}
	tree, mishap := conf.Grow(former, treeParts(value.Parts), now.texts)
	now.tree = tree
	return now, mishap
}

// treeParts are the branches of the settings, without those of the trail.
func treeParts(parts []wire.Part) []wire.Part {
	for index, part := range parts {
		if len(part.Path) > len(trailSign) && part.Path[:len(trailSign)] == trailSign {
			return parts[:index]
		}
	}
	return parts
}

// fresh are the texts of a value's branches that another value does not have.
func fresh(value, former wire.Value, texts wire.Texts) wire.Texts {
	held, missing := map[string]bool{}, wire.Texts{}
	for _, part := range former.Parts {
		held[part.Digest] = true
	}
	for _, part := range value.Parts {
		if !held[part.Digest] {
			missing[part.Digest] = texts[part.Digest]
		}
	}
	return missing
}

// content is what this core holds as committed.
func (core *Core) content() (*content, error) {
	core.reading.Take()
	defer core.reading.Give()
	core.mutex.Lock()
	value, texts, held := core.committed[wire.SettingsRegister].Value, core.texts, core.held
	core.mutex.Unlock()
	if held != nil && held.serial == value.Serial {
		return held, nil
	}
	now, mishap := readContent(held, value, texts)
	if mishap != nil {
		core.counts.Add("contents_unreadable", 1)
		return nil, mishap
	}
	core.mutex.Lock()
	core.held = now
	core.mutex.Unlock()
	return now, nil
}

func (core *Core) onParts(parts *wire.Parts) (*wire.PartsTold, error) {
	state := core.voter.State()
	core.mutex.Lock()
	texts := core.texts
	core.mutex.Unlock()
	told := &wire.PartsTold{Texts: wire.Texts{}}
	for _, digest := range parts.Digests {
		if text, found := state.Texts[digest]; found {
			told.Texts[digest] = text
		} else if text, found := texts[digest]; found {
			told.Texts[digest] = text
		}
	}
	return told, nil
}

// gatherTexts completes the texts of a value from the core that told of it.
func (core *Core) gatherTexts(address string, value wire.Value, known wire.Texts) (wire.Texts, error) {
	texts := wire.Texts{}
	for _, part := range value.Parts {
		if text, found := known[part.Digest]; found {
			texts[part.Digest] = text
		}
	}
	lacks := wire.Lacks(value.Parts, texts)
	core.counts.Add("branches_fetched", uint64(len(lacks)))
	return texts, texts.AskParts(core.line, address, core.roundLimit(), lacks)
}
