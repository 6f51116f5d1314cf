// Package rollout holds the rules by which a new version of a service takes over its
// requests: what an order changes (order.go), which versions may be listed to proxies
// (version.go), how the share of the new version grows (plan.go), and when a roll-out goes
// on, waits, is complete or is reverted (decide.go, verdict.go). It does no input or output;
// package control replicates the State and asks Decide for the next one.
package rollout
