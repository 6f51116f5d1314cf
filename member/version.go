package member

import (
	"orchidjunction/conf"
	"orchidjunction/message"
	"orchidjunction/route"
)

// Version is what a daemon has in force; it is swapped whole.
type Version struct {
	Serial   uint64
	Tree     *conf.Tree
	Settings *conf.Settings
	Table    *message.Table
	Routing  uint64
	Book     *route.Book
}

// Body is the settings' whole text.
func (version *Version) Body() []byte { return version.Tree.Body() }

// behind is whether any of these is newer.
func (version *Version) behind(serial, routing uint64, table message.TableVersion) bool {
	return serial > version.Serial || routing > version.Routing || version.Table.Version.Less(table)
}

// after is the version with newer parts laid in; serials and tables only rise.
func (version *Version) after(response *message.FetchResponse, texts message.Chunks) (*Version, error) {
	next := *version
	if response.Serial > version.Serial {
		tree, err := conf.Grow(version.Tree, response.Chunks, texts)
		if err != nil {
			return nil, err
		}
		next.Serial, next.Tree, next.Settings = response.Serial, tree, tree.Settings
	}
	if response.Routing > version.Routing {
		body, err := response.DecompressRouting()
		if err != nil {
			return nil, err
		}
		book, err := route.BookOf(body)
		if err != nil {
			return nil, err
		}
		next.Routing, next.Book = response.Routing, book
	}
	if response.Table != nil && version.Table.Version.Less(response.Table.Version) {
		next.Table = response.Table
	} else if response.Delta != nil && version.Table.Version.Less(response.Delta.Version) {
		next.Table, _ = version.Table.Apply(response.Delta)
	}
	return &next, nil
}
