// Package message defines the messages between the system's own processes, and the replicated
// values that they contain: terms, versions, registers, memberships and tables. Messages with
// constrained fields have a Check method, which package rpc calls for every received message.
//
// Fields are encoded by name (package rpc). A tag keeps the encoded name of a renamed field,
// because processes of two releases run side by side and some of these structures are stored on
// disk. TestMessageEncodingsStay fails if an encoding changes.
package message
