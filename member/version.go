package member

import (
	"orchidjunction/conf"
	"orchidjunction/route"
	"orchidjunction/wire"
)

// Version is what a daemon has in force; it is swapped whole.
type Version struct {
	Serial   uint64
	Tree     *conf.Tree
	Settings *conf.Settings
	Table    *wire.Table
	Routing  uint64
	Book     *route.Book
}

// Body is the settings' whole text.
func (version *Version) Body() []byte { return version.Tree.Body() }

// behind is whether any of these is newer.
func (version *Version) behind(serial, routing uint64, table wire.TableMark) bool {
	return serial > version.Serial || routing > version.Routing || version.Table.Mark.Less(table)
}

// after is the version with newer parts laid in; serials and tables only rise.
func (version *Version) after(told *wire.FetchTold, texts wire.Texts) (*Version, error) {
	next := *version
	if told.Serial > version.Serial {
		tree, mishap := conf.Grow(version.Tree, told.Parts, texts)
		if mishap != nil {
			return nil, mishap
		}
		next.Serial, next.Tree, next.Settings = told.Serial, tree, tree.Settings
	}
	if told.Routing > version.Routing {
		body, mishap := told.Unpacked()
		if mishap != nil {
			return nil, mishap
		}
		book, mishap := route.BookOf(body)
		if mishap != nil {
			return nil, mishap
		}
		next.Routing, next.Book = told.Routing, book
	}
	if told.Table != nil && version.Table.Mark.Less(told.Table.Mark) {
		next.Table = told.Table
	} else if told.Delta != nil && version.Table.Mark.Less(told.Delta.Mark) {
		next.Table, _ = version.Table.Apply(told.Delta)
	}
	return &next, nil
}
