// Package consensus holds the rules by which the cores agree on the values of the
// replicated registers. It is Paxos with a distinguished leader: a candidate prepares a
// term at a quorum (revocation of all older leaderships), inherits the newest values
// accepted there and writes them again under its term (establishment); a leader then has
// each new value accepted by a quorum under its term.
//
// The package is pure: it has no clock, disk, network or goroutine, and all randomness
// and waiting is elsewhere. State and Record are what a replica must never forget, and
// the answers of a replica to PrepareRequest and AcceptRequest; Membership and View say
// which cores vote and what a quorum is, also while a voter is being replaced; Tracker
// holds the newest membership that a core knows.
//
// Package replica keeps a State on disk. Package control sends the messages. The model
// check in package control (model_*_test.go) runs these rules through random and
// exhaustive schedules; docs/design/election.md and docs/design/roster.md give the
// reasoning.
package consensus
