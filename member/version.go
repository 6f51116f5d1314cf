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
func (version *Version) behind(serial, routing uint64, table wire.TableVersion) bool {
	return serial > version.Serial || routing > version.Routing || version.Table.Version.Less(table)
}

// after is the version with newer parts laid in; serials and tables only rise.
func (version *Version) after(told *wire.FetchResponse, texts wire.Chunks) (*Version, error) {
	next := *version
	if told.Serial > version.Serial {
		tree, err := conf.Grow(version.Tree, told.Chunks, texts)
		if err != nil {
			return nil, err
		}
		next.Serial, next.Tree, next.Settings = told.Serial, tree, tree.Settings
	}
	if told.Routing > version.Routing {
		body, err := told.DecompressRouting()
		if err != nil {
			return nil, err
		}
		book, err := route.BookOf(body)
		if err != nil {
			return nil, err
		}
		next.Routing, next.Book = told.Routing, book
	}
	if told.Table != nil && version.Table.Version.Less(told.Table.Version) {
		next.Table = told.Table
	} else if told.Delta != nil && version.Table.Version.Less(told.Delta.Version) {
		next.Table, _ = version.Table.Apply(told.Delta)
	}
	return &next, nil
}
