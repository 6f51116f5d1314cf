package member

import (
	"orchidjunction/conf"
	"orchidjunction/wire"
)

// Version is what a daemon has in force; it is swapped whole.
type Version struct {
	Serial   uint64
	Body     []byte
	Settings *conf.Settings
	Table    *wire.Table
}

// after is the version with newer parts laid in; serials and tables only rise.
func (version *Version) after(told *wire.FetchTold) (*Version, *wire.Mishap) {
	next := *version
	if told.Serial > version.Serial {
		settings, mishap := conf.Read(told.Body)
		if mishap != nil {
			return nil, mishap
		}
		next.Serial, next.Body, next.Settings = told.Serial, told.Body, settings
	}
	if told.Table != nil && version.Table.Mark.Less(told.Table.Mark) {
		next.Table = told.Table
	}
	return &next, nil
}
