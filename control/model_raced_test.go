//go:build race

package control

// The race detector makes the model some ten times as slow.
const (
	modelDefaultWalks  = 40
	modelDefaultStates = 2000
	modelBeginsNear    = true
)
