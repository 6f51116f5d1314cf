// Package consensus implements the rules by which the cores agree on the values of the
// replicated registers: Paxos with a distinguished leader. A candidate prepares a term at
// a quorum, which revokes all older leaderships, inherits the newest values accepted there
// and writes them again under its term to establish its leadership. The leader then has
// each new value accepted by a quorum under its term.
//
// The package is deterministic: it has no clock, disk, network or goroutines. State is
// the durable state of a replica, and Record one change of it. Membership and View define
// the voters and their quorums, also while a voter is being replaced. Tracker holds the
// newest membership that a core knows. Founding is a seed's vote on the first membership.
//
// Package replica stores a State on disk, and package control sends the messages. The
// model check in package control (model_*_test.go) runs these rules under random and
// exhaustive schedules. See docs/design/election.md and docs/design/roster.md for the
// design.
package consensus
