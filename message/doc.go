// Package message holds what the system's own processes send to each other, and the
// replicated values that these messages carry: terms, versions, registers, memberships
// and tables. A request has a Check method where its fields are bounded; package rpc calls it
// for every message that arrives.
//
// Fields are encoded by name (package rpc). A tag keeps the encoded name where the field
// has another one since: processes of two releases run side by side, and disks hold some
// of these structures. TestMessageEncodingsStay fails if an encoding changes.
package message
