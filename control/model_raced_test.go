//go:build race

package control

// The race detector makes the model some ten times as slow.
const (
	modelDefaultWalks  = 60
	modelDefaultStates = 4000
)
