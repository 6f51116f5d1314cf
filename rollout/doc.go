// Package rollout defines how a new version of a service takes over its requests: what an
// order changes (order.go), which versions are listed to proxies (version.go), how the share
// of the new version grows (plan.go), and when a rollout advances, waits, completes or is
// reverted (decide.go, verdict.go). It performs no I/O; package control replicates the State
// and calls Decide for the next one. Names with Former refer
// to the old version.
package rollout
